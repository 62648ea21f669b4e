//===- Tables.h - Text output of operator API responses ---------*- C++ -*-===//
//
// Formats the JSON responses of the operator API as aligned columns.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace figlift::control {

using Json = nlohmann::ordered_json;

/// Pads each column to its widest cell. The first row is the header.
std::string alignColumns(const std::vector<std::vector<std::string>> &Rows);

std::string recordTable(const Json &Response);
std::string outcomeTable(const Json &Response);
std::string statusTable(const Json &Response);
std::string explanationText(const Json &Response);

/// One line per process; watch compares the lines of successive polls.
std::vector<std::string> statusLines(const Json &Response);

} // namespace figlift::control
