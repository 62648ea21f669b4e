//===- UsageUpdate.h - Usage sums of one gateway, as a message --*- C++ -*-===//
//
// Sent by each gateway, several times a second, to the gateways that may have
// to report usage. A message contains whole sums: it may be lost, repeated or
// reordered.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibUsage/UsageMeter.h"

#include <string>
#include <string_view>
#include <vector>

namespace figlift::usage {

struct UsageUpdate {
  std::string Sender;
  /// Distinguishes the starts of a process: sums begin anew at a start.
  uint64_t Incarnation = 0;
  std::vector<WindowSum> Sums;
};

/// Encodes as CBOR.
std::string encodeUsageUpdate(const UsageUpdate &Update);
/// Fails with InvalidInput.
Result<UsageUpdate> decodeUsageUpdate(std::string_view Bytes);

/// Text of the counts of one report: a JSON object, with tenants in order. The
/// same counts have the same text.
std::string encodeReport(const Report &Reported);
/// Fails with InvalidInput.
Result<Report> decodeReport(std::string_view Json);

} // namespace figlift::usage
