//===- PaceUpdate.cpp - Measured paces for the peers ----------------------===//
//
// Numbers are encoded as hundredths, which are short in CBOR.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PaceUpdate.h"

#include "LibCore/BoundedJson.h"
#include "LibDispatch/StartTimeJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace figlift::dispatch {

using Json = nlohmann::json;

namespace {

constexpr double Hundredths = 100;
/// Missing for services, and for targets that do not name their start.
constexpr size_t StartField = 3;

/// Of more targets, those with the most samples are sent: an update of hundreds
/// of servers with long names would exceed the size of a datagram and never
/// arrive.
constexpr size_t MaximumRows = 256;

Json encodeSamples(std::vector<TargetSamples> Samples) {
  if (Samples.size() > MaximumRows) {
    std::nth_element(
        Samples.begin(), Samples.begin() + MaximumRows, Samples.end(),
        [](const auto &A, const auto &B) { return A.Count > B.Count; });
    Samples.resize(MaximumRows);
  }
  Json Encoded = Json::array();
  for (const TargetSamples &Row : Samples) {
    Json Fields = {Row.TargetId, std::llround(Row.Sum * Hundredths),
                   std::llround(Row.Count * Hundredths)};
    if (Row.Started)
      Fields.push_back(Row.Started->time_since_epoch().count());
    Encoded.push_back(std::move(Fields));
  }
  return Encoded;
}

/// Bounds of a row. A gateway that forwards 100,000 events a second has some
/// 700,000 decayed samples; the longest interval that matters is far below ten
/// minutes.
constexpr double MaximumCount = 1e7;
constexpr double MaximumMean = 600000;

/// Empty if \p Encoded is no non-negative integer: other numbers may be NaN or
/// out of range, and a negative one would be read as a huge one.
std::optional<double> decodeHundredths(const Json &Encoded) {
  if (!Encoded.is_number_unsigned())
    return std::nullopt;
  return static_cast<double>(Encoded.get<uint64_t>()) / Hundredths;
}

/// Empty if a row is not possible.
std::optional<std::vector<TargetSamples>> decodeSamples(const Json &Encoded) {
  std::vector<TargetSamples> Samples;
  for (const Json &Row : Encoded) {
    const auto Sum = decodeHundredths(Row.at(1));
    const auto Count = decodeHundredths(Row.at(2));
    if (!Sum || !Count || *Count <= 0 || *Count > MaximumCount ||
        *Sum > *Count * MaximumMean)
      return std::nullopt;
    std::optional<StartTime> Started;
    if (Row.size() > StartField)
      Started = StartTime(decodeUnixTime(Row[StartField]));
    Samples.push_back({Row.at(0).get<std::string>(), *Sum, *Count, Started});
  }
  return Samples;
}

} // namespace

PaceUpdate
currentSamples(PaceUpdate Update,
               const std::function<bool(const TargetSamples &)> &IsCurrentStart,
               const std::function<bool(const std::string &)> &IsService) {
  const auto IsOutdated = [&](const TargetSamples &Row) {
    return !IsCurrentStart(Row);
  };
  std::erase_if(Update.Intervals, IsOutdated);
  std::erase_if(Update.ReadRatios, IsOutdated);
  std::erase_if(Update.PauseRatios, [&](const TargetSamples &Row) {
    return !IsService(Row.TargetId);
  });
  return Update;
}

std::string encodePaceUpdate(const PaceUpdate &Update) {
  std::string Bytes;
  Json::to_cbor(Json::array({Update.Sender, encodeSamples(Update.Intervals),
                             encodeSamples(Update.ReadRatios),
                             encodeSamples(Update.PauseRatios)}),
                Bytes);
  return Bytes;
}

Result<PaceUpdate> decodePaceUpdate(std::string_view Bytes) try {
  FIGLIFT_TRY(Root, parseCborMessage(Bytes));
  const auto Sender = Root.at(0).get<std::string>();
  const auto Intervals = decodeSamples(Root.at(1));
  const auto ReadRatios = decodeSamples(Root.at(2));
  const auto PauseRatios = decodeSamples(Root.at(3));
  if (Sender.empty() || !Intervals || !ReadRatios || !PauseRatios)
    return failure(ResultCode::InvalidInput, "value out of range",
                   "pace update");
  return PaceUpdate{Sender, *Intervals, *ReadRatios, *PauseRatios};
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(), "pace update");
}

} // namespace figlift::dispatch
