"""XML of operators' settings, for relays that labs and tests start."""

NAMESPACE = "urn:laurelcourse:operator:1"


def element(name: str, attributes: dict[str, str], content: str = "") -> str:
    """Returns an element. Attribute values and the content are put in as they are."""
    text = "".join(f' {key}="{value}"' for key, value in attributes.items())
    return f"<{name}{text}>{content}</{name}>"


def operator_element(content: str) -> str:
    """Returns the document element of an operator's settings."""
    return element("operator", {"xmlns": NAMESPACE}, content)
