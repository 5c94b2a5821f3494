"""A session front that places and shapes video sessions on streaming servers."""
