"""Settings: HCL files, checked by pydantic, turned into the module's settings and the program's own."""

from otterquay.config.load import ConfigError, load_document, load_service, parse_service
from otterquay.config.schema import Service

__all__ = ["ConfigError", "Service", "load_document", "load_service", "parse_service"]
