"""Runs one simulated system as a process.

Usage: ``python -m yuccatally_standins``.
"""

from __future__ import annotations

from aiohttp import web
import click

from yuccatally_standins import engine
from yuccatally_standins import platform
from yuccatally_standins import service
from yuccatally_standins import weights as weights_module

_PORT = click.option("--port", type=int, required=True)


@click.group()
def main() -> None:
    """Simulated external systems."""


@main.command("platform")
@_PORT
def run_platform(port: int) -> None:
    """Runs the object API of the platform."""
    _serve(platform.Platform().application(), port)


@main.command("engine")
@_PORT
@click.option("--name", required=True)
@click.option("--layers", type=(int, int), required=True)
@click.option("--model", required=True)
@click.option("--version", required=True)
@click.option("--step-ms", default=2.0)
@click.option("--token-layer-us", default=20.0)
@click.option("--checks-fencing", is_flag=True)
@click.option("--capacity-layers", default=1024)
@click.option("--weights", default="", help="IP:PORT of the weight store.")
@click.option("--max-batch", default=512)
@click.option("--link-ms", default=0.0)
@click.option("--link-value-us", default=0.0)
def run_engine(
    port: int,
    name: str,
    layers: tuple[int, int],
    model: str,
    version: str,
    step_ms: float,
    token_layer_us: float,
    checks_fencing: bool,
    capacity_layers: int,
    weights: str,
    max_batch: int,
    link_ms: float,
    link_value_us: float,
) -> None:
    """Runs a model engine."""
    config = engine.EngineConfig(
        name,
        *layers,
        model,
        version,
        step_base_s=step_ms / 1e3,
        token_layer_s=token_layer_us / 1e6,
        checks_fencing=checks_fencing,
        capacity_layers=capacity_layers,
        weights=weights,
        max_batch=max_batch,
        link_delay_s=link_ms / 1e3,
        link_value_s=link_value_us / 1e6,
    )
    _serve(engine.Engine(config).application(), port)


@main.command("weights")
@_PORT
@click.option("--layer-ms", default=10.0)
def run_weights(port: int, layer_ms: float) -> None:
    """Runs the model weight store."""
    _serve(weights_module.Weights(layer_ms / 1e3).application(), port)


@main.command("service")
@_PORT
def run_service(port: int) -> None:
    """Runs a reservation service."""
    _serve(service.Service().application(), port)


def _serve(app: web.Application, port: int) -> None:
    web.run_app(
        app, host="127.0.0.1", port=port, print=None, shutdown_timeout=0.5
    )


if __name__ == "__main__":
    main()
