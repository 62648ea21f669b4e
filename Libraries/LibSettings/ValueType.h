//===- ValueType.h - Value types of settings --------------------*- C++ -*-===//
//
// Reads values of each type from JSON, writes them to JSON and describes the
// valid range in messages and documentation.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibSettings/FieldTable.h"

#include <nlohmann/json.hpp>

namespace figlift::settings {

/// Stores a JSON value in the field; false, without storing, when its type or
/// range is invalid.
bool storeValue(const FieldRow &Row, const nlohmann::ordered_json &Value);

/// The field's current value.
nlohmann::ordered_json loadValue(const FieldRow &Row);

/// Such as "a duration from "10ms" to "1m"".
std::string describeAllowed(const FieldRow &Row);

} // namespace figlift::settings
