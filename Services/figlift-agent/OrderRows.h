//===- OrderRows.h - Rows of the table that orders use ----------*- C++ -*-===//
//
// Pure functions that read and write the row order/<target> and read the row
// lease/<shard>.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibOrder/OrderTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace figlift::agent {

std::string orderRowKey(std::string_view Target);
std::string leaseRowKey(std::string_view BackEnd, std::string_view Region);

/// An empty value is a row without an order.
Result<std::optional<order::IntentRow>> readIntentRow(std::string_view Value);
std::string writeIntentRow(const order::IntentRow &Row);

struct LeaseRow {
  uint64_t Epoch = 0;
  std::string Holder;
};
Result<LeaseRow> readLeaseRow(std::string_view Value);

} // namespace figlift::agent
