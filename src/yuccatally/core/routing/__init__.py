"""Path selection: a pipeline and one engine for each stage."""
