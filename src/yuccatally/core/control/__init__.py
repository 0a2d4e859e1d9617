"""Control of engines under a lease."""
