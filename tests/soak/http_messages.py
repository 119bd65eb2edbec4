"""Reading and writing of HTTP/1.1 messages with a length, over asyncio streams."""


class Message:
    """A request or a response: its first line, its fields by lower-case name, and its body."""

    def __init__(self, first_line, fields, body):
        self.first_line = first_line
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])

    @property
    def target(self):
        return self.first_line.split(" ")[1]


async def read_message(reader):
    """Returns the next message; None if the connection ends before it is complete."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                fields[name.lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        return Message(lines[0], fields, body)
    except (EOFError, OSError, ValueError):
        return None


def message_bytes(first_line, fields, body=b""):
    """Returns the bytes of a message with these fields and its length."""
    head = first_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body
