"""Stand-ins of the review: viewers, media nodes and the change log, as the protocol page has them."""
