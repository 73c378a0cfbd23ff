"""Listening on the ports of an instance, with a fault for each that fails."""

from celeryturn.errors import Fault
from celeryturn.http.server import HttpServer
from celeryturn.peers.dialling import listen
from celeryturn.peers.network import Network
from celeryturn.settings import Endpoint


async def try_listen(server: HttpServer, endpoint: Endpoint) -> Fault | None:
    """Listen on a port.

    :param server: The server.
    :param endpoint: Address and port.
    :returns: ``None``, or the fault if the port cannot be listened on.
    """
    try:
        await server.start(endpoint.address, endpoint.port)
    except OSError as error:
        return _port_fault(f'port {endpoint.port}', error)
    return None


async def try_listen_peers(network: Network) -> Fault | None:
    """Listen on the port for peers.

    :param network: Links to peers.
    :returns: ``None``, or the fault if the port cannot be listened on.
    """
    try:
        await listen(network)
    except OSError as error:
        return _port_fault('peers', error)
    return None


def _port_fault(field: str, error: OSError) -> Fault:
    return Fault(field, f'must be a free port: {error}')
