"""Settings files: HCL, validated by pydantic and converted to the settings of the decision module."""

from otterquay.config.load import ConfigError, load_document, load_service, parse_service
from otterquay.config.schema import Service

__all__ = ["ConfigError", "Service", "load_document", "load_service", "parse_service"]
