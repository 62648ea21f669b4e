//===- Tables.h - Answers as text for people --------------------*- C++ -*-===//
//
// Turns the JSON of the operator API into aligned columns.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace figlift::control {

using Json = nlohmann::ordered_json;

/// Columns as wide as their widest cell; the first row is the head.
std::string aligned(const std::vector<std::vector<std::string>> &Rows);

std::string recordTable(const Json &Answer);
std::string outcomeTable(const Json &Answer);
std::string statusTable(const Json &Answer);
std::string explanation(const Json &Answer);

/// One line for each process, for comparison from round to round.
std::vector<std::string> statusLines(const Json &Answer);

} // namespace figlift::control
