"""Router for language-model pipelines over mixed accelerators."""
