"""Validate tables and report all mistakes in them at once."""

from collections.abc import Mapping
from typing import Annotated, Any, TypeVar, get_type_hints

import msgspec

Record = TypeVar('Record')

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
MAX_SECONDS = 86400
Seconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_SECONDS)]
# Names of other programs, too: printable, without spaces, and not empty.
Name = Annotated[
    str,
    msgspec.Meta(pattern='^[A-Za-z0-9_][!-~]{0,199}$'),
]


def build_record(
    record_class: type[Record],
    table: Any,
    prefix: str,
    mistakes: list[str],
) -> Record | None:
    """Build a record from a table; mistakes name it by the path `prefix`.

    Append what is invalid to `mistakes`; return None if anything is.
    """
    if not isinstance(table, Mapping):
        mistakes.append(f'{prefix}: got {table!r}; a table is needed')
        return None
    count_before = len(mistakes)
    field_types = get_type_hints(record_class, include_extras=True)
    defaults = record_class._field_defaults
    for unknown in sorted(set(table) - set(field_types)):
        allowed = ', '.join(field_types)
        mistakes.append(
            f'{prefix}.{unknown}: unknown name; allowed are {allowed}',
        )
    values = {}
    for field in sorted(set(field_types) & set(table)):
        values[field] = check_value(
            table[field],
            field_types[field],
            f'{prefix}.{field}',
            mistakes,
        )
    for field in sorted(set(field_types) - set(table) - set(defaults)):
        mistakes.append(f'{prefix}.{field}: missing; it has no default')
    if len(mistakes) > count_before:
        return None
    return record_class(**values)


def check_value(
    raw_value: Any,
    field_type: Any,
    name: str,
    mistakes: list[str],
) -> Any:
    """Convert a value to its declared type.

    If it is invalid, append the reason to `mistakes` and return None.
    """
    try:
        return msgspec.convert(raw_value, field_type)
    except msgspec.ValidationError as error:
        mistakes.append(f'{name}: got {raw_value!r}; {error}')
        return None
