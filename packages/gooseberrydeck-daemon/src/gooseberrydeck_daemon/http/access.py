"""Keys and permissions, looked up in the newest configuration."""

import hashlib

from gooseberrydeck_configuration.objects import Configuration, Queue, Service
from gooseberrydeck_coordination.ids import QueueName, ServiceName, TeamName
from gooseberrydeck_daemon.views import ConfigurationView

__all__ = ["AccessIndex"]


class Tables:
    """One configuration, by name and by hash of key."""

    def __init__(self, configuration: Configuration) -> None:
        """Index ``configuration``."""
        self.configuration = configuration
        self.teams_by_key = {key.sha256: key.team for key in configuration.keys}
        self.services = {item.name: item for item in configuration.services}
        self.queues = {item.name: item for item in configuration.queues}


class AccessIndex:
    """Answer questions of the request path about the newest configuration."""

    def __init__(self, view: ConfigurationView) -> None:
        """Follow ``view``."""
        self.view = view
        self.cached = Tables(view.current)

    def tables(self) -> Tables:
        """Return the tables of the newest configuration."""
        current = self.view.current
        cached = self.cached
        if cached.configuration is not current:
            cached = self.cached = Tables(current)
        return cached

    def team_of_key(self, secret: str) -> TeamName | None:
        """Return the team of a key, or None if the key is not known."""
        digest = hashlib.sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()
        return self.tables().teams_by_key.get(digest)

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self.tables().services.get(ServiceName(name))

    def queue(self, name: str) -> Queue | None:
        """Return a queue by name."""
        return self.tables().queues.get(QueueName(name))
