"""Build checked records from tables, listing every mistake found."""

from collections.abc import Mapping
from typing import Annotated, Any, TypeVar, get_type_hints

import msgspec

Record = TypeVar('Record')

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Name = Annotated[
    str,
    msgspec.Meta(pattern='^[a-z0-9][a-z0-9._-]{0,62}$'),
]


def build_record(
    record_class: type[Record],
    table: Any,
    prefix: str,
    mistakes: list[str],
) -> Record | None:
    """Return the record a table describes, or note what is wrong with it."""
    if not isinstance(table, Mapping):
        mistakes.append(f'{prefix}: got {table!r}; a table is needed')
        return None
    found = len(mistakes)
    hints = get_type_hints(record_class, include_extras=True)
    defaults = record_class._field_defaults
    for unknown in sorted(set(table) - set(hints)):
        allowed = ', '.join(hints)
        mistakes.append(
            f'{prefix}.{unknown}: unknown name; allowed are {allowed}',
        )
    values = {}
    for field in sorted(set(hints) & set(table)):
        values[field] = check_value(
            table[field],
            hints[field],
            f'{prefix}.{field}',
            mistakes,
        )
    for field in sorted(set(hints) - set(table) - set(defaults)):
        mistakes.append(f'{prefix}.{field}: missing; it has no default')
    if len(mistakes) > found:
        return None
    return record_class(**values)


def check_value(
    given: Any,
    hint: Any,
    name: str,
    mistakes: list[str],
) -> Any:
    """Return the value in its declared type, or note what is allowed."""
    try:
        return msgspec.convert(given, hint)
    except msgspec.ValidationError as error:
        mistakes.append(f'{name}: got {given!r}; {error}')
        return None
