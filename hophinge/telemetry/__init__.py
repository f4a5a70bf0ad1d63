"""What a head tells about itself beside the serving."""
