"""Bytes on the wire and on disk, recorded; decoded and encoded again by the code as it is."""
