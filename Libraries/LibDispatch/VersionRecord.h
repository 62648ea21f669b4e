//===- VersionRecord.h - Software versions of a service, as kept *- C++ -*-===//
//
// What the store keeps of the software versions of one service. A gateway that
// starts knows only the servers that are listed now; this tells it of the
// versions that have left.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibDispatch/StoreTime.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

struct RecordedVersion {
  std::string Name;
  /// How long after its beginning a stream at this version may be taken up.
  std::chrono::milliseconds TakeUpTime{0};
  /// No stream that began at this version may be taken up after this. Empty
  /// while servers of the version are listed.
  std::optional<StoreTime> Until;
};

struct VersionRecord {
  /// The record has all versions at which streams began since then; zero for
  /// the first start of the fleet.
  StoreTime CompleteSince{};
  /// Era of the store in which the record was written; empty if it does not
  /// say so. A record of an earlier era comes from a copy and may lack what was
  /// written after it.
  std::optional<uint64_t> Era;
  /// Versions were left out for lack of space: those that count for less long
  /// than the ones that are here.
  bool IsCut = false;
  /// The row could not be decoded, so that what it held is not known. Not
  /// stored.
  bool IsInvalid = false;
  std::vector<RecordedVersion> Versions;
};

std::string encodeVersionRecord(const VersionRecord &Record);
/// Error: InvalidInput.
Result<VersionRecord> decodeVersionRecord(std::string_view Text);

} // namespace figlift::dispatch
