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

namespace figlift::agent {

std::string grantRowKey(std::string_view BackEnd);
/// An empty text is a row without grants.
Result<idempotency::GrantTable> readGrantRow(std::string_view Value);
std::string writeGrantRow(const idempotency::GrantTable &Grants);

} // namespace figlift::agent
