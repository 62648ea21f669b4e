//===- ValueType.h - The types that a setting may have ----------*- C++ -*-===//
//
// How a value of each type is read from JSON, written to JSON and described
// to a person.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibSettings/FieldTable.h"

#include <nlohmann/json.hpp>

namespace figlift::settings {

/// Stores a JSON value in the field; false when its type or range is wrong,
/// and then nothing was stored.
bool store(const FieldRow &Row, const nlohmann::ordered_json &Value);

/// The field's present value.
nlohmann::ordered_json load(const FieldRow &Row);

/// "a duration from 10ms to 1m" and the like.
std::string describeAllowed(const FieldRow &Row);

} // namespace figlift::settings
