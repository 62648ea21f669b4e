//===- GrantRow.h - The row slice/<back end> --------------------*- C++ -*-===//
//
// Reads and writes the table's row of grants.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibIdempotency/SliceMap.h"

#include <string>
#include <string_view>

namespace figlift::idempotency {

std::string grantRowKey(std::string_view BackEnd);
/// An empty value is a row without grants.
Result<GrantTable> readGrantRow(std::string_view Value);
std::string writeGrantRow(const GrantTable &Grants);

} // namespace figlift::idempotency
