//===- PeerReport.cpp - Periodic report of a gateway to its peers ---------===//
//
// Items are encoded as arrays instead of objects to keep a report within one
// packet.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PeerReport.h"

#include "LibCore/BoundedJson.h"
#include "LibDispatch/StartTimeJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace figlift::dispatch {

using Json = nlohmann::json;

namespace {

Json encodeMeasurements(const ServiceMeasurements &Service) {
  const engine::EngineParameters &Figures = Service.Figures;
  return {Service.Service,
          Figures.PrefillFixed.count(),
          Figures.PrefillPerThousandTokens.count(),
          Figures.PrefillPerMillionPairs.count(),
          Figures.FetchFixed.count(),
          Figures.PrefillWeight,
          Figures.DecodePrefillFactor,
          Figures.DecodePrefillWeight,
          Figures.DecodeStartFixed.count(),
          Figures.TransferFactor,
          Figures.DecodeStartWeight};
}

ServiceMeasurements decodeMeasurements(const Json &Encoded) {
  const auto Number = [&](size_t Index) {
    return Encoded.at(Index).get<double>();
  };
  ServiceMeasurements Decoded;
  Decoded.Service = Encoded.at(0).get<std::string>();
  Decoded.Figures.PrefillFixed = Milliseconds(Number(1));
  Decoded.Figures.PrefillPerThousandTokens = Milliseconds(Number(2));
  Decoded.Figures.PrefillPerMillionPairs = Milliseconds(Number(3));
  Decoded.Figures.FetchFixed = Milliseconds(Number(4));
  Decoded.Figures.PrefillWeight = Number(5);
  Decoded.Figures.DecodePrefillFactor = Number(6);
  Decoded.Figures.DecodePrefillWeight = Number(7);
  Decoded.Figures.DecodeStartFixed = Milliseconds(Number(8));
  Decoded.Figures.TransferFactor = Number(9);
  Decoded.Figures.DecodeStartWeight = Number(10);
  return Decoded;
}

Json encodeLimit(const LimitUpdate &Limit) {
  Json PerSecond = nullptr;
  if (Limit.PerSecond)
    PerSecond = *Limit.PerSecond;
  return {Limit.Server.TargetId, encodeStartTime(Limit.Server.Started),
          PerSecond, Limit.Age.count()};
}

LimitUpdate decodeLimit(const Json &Encoded) {
  LimitUpdate Limit;
  Limit.Server.TargetId = Encoded.at(0).get<std::string>();
  Limit.Server.Started = decodeStartTime(Encoded.at(1));
  if (!Encoded.at(2).is_null())
    Limit.PerSecond = Encoded.at(2).get<double>();
  Limit.Age = decodeTimeSpan(Encoded.at(3));
  return Limit;
}

/// Hundredths of a millisecond are short in CBOR, and precise enough.
uint64_t encodeTime(Milliseconds Time) {
  return static_cast<uint64_t>(Time.count() * 100);
}

Milliseconds decodeTime(const Json &Encoded) {
  return Milliseconds(static_cast<double>(wholeNumber<uint64_t>(Encoded)) /
                      100);
}

Json encodeLoad(const PeerLoad &Load) {
  Json Row = {Load.TargetId, encodeTime(Load.Cost), Load.Items,
              Load.CompletionRate, encodeTime(Load.PrefillCost)};
  if (Load.ByPriority.empty())
    return Row;
  Json Parts = Json::array();
  for (const PriorityLoad &Part : Load.ByPriority)
    Parts.push_back({Part.Priority, Part.Items, encodeTime(Part.PrefillCost)});
  Row.push_back(std::move(Parts));
  return Row;
}

PeerLoad decodeLoad(const Json &Row) {
  PeerLoad Load;
  Load.TargetId = Row.at(0).get<std::string>();
  Load.Cost = decodeTime(Row.at(1));
  Load.Items = wholeNumber<uint32_t>(Row.at(2));
  Load.CompletionRate = Row.at(3).get<double>();
  Load.PrefillCost = decodeTime(Row.at(4));
  // Earlier versions of the program send no priorities.
  if (Row.size() > 5)
    for (const Json &Part : Row.at(5))
      Load.ByPriority.push_back({wholeNumber<unsigned>(Part.at(0)),
                                 wholeNumber<uint32_t>(Part.at(1)),
                                 decodeTime(Part.at(2))});
  return Load;
}

template <typename T> Json encodeOptional(const std::optional<T> &Value) {
  return Value ? Json(*Value) : Json(nullptr);
}

Json encodeCached(const CachedPart &Part) {
  return {Part.TargetId, Part.Part.Id, Part.Part.Tokens, Part.Within.count()};
}

/// Removes items from the end of \p Items until \p Bytes fits or none is left,
/// and returns their number.
template <typename Item, typename Function>
size_t removeLast(std::vector<Item> &Items, Function Encode, size_t &Bytes) {
  size_t Removed = 0;
  for (; Bytes > MaximumReportBytes && !Items.empty(); ++Removed) {
    Bytes -= Json::to_cbor(Encode(Items.back())).size();
    Items.pop_back();
  }
  return Removed;
}

} // namespace

size_t fitIntoDatagram(PeerReport &Report) {
  size_t Bytes = encodePeerReport(Report).size();
  if (Bytes <= MaximumReportBytes)
    return 0;
  size_t Removed = removeLast(Report.Engines, encodeMeasurements, Bytes);
  Removed += removeLast(Report.Limits, encodeLimit, Bytes);
  Removed += removeLast(Report.Cached, encodeCached, Bytes);
  std::stable_sort(
      Report.Loads.begin(), Report.Loads.end(),
      [](const PeerLoad &A, const PeerLoad &B) { return A.Cost > B.Cost; });
  return Removed + removeLast(Report.Loads, encodeLoad, Bytes);
}

std::string encodePeerReport(const PeerReport &Report) {
  Json Loads = Json::array();
  for (const PeerLoad &Load : Report.Loads)
    Loads.push_back(encodeLoad(Load));
  Json Cached = Json::array();
  for (const CachedPart &Part : Report.Cached)
    Cached.push_back(encodeCached(Part));
  Json Demands = Json::array();
  for (const ServiceDemand &Demand : Report.Demands)
    Demands.push_back(
        {Demand.Service, Demand.Demand.Prefill, Demand.Demand.Decode});
  Json Unavailable = Json::array();
  for (const UnavailableTarget &Target : Report.Unavailable)
    Unavailable.push_back({Target.TargetId, Target.Remaining.count()});
  Json Engines = Json::array();
  for (const ServiceMeasurements &Service : Report.Engines)
    Engines.push_back(encodeMeasurements(Service));
  Json Limits = Json::array();
  for (const LimitUpdate &Limit : Report.Limits)
    Limits.push_back(encodeLimit(Limit));
  Json Items = Json::array(
      {Report.Sender, Loads, Cached, Demands, Unavailable, Engines, Limits});
  if (Report.Clock) {
    Items.push_back(Report.Clock->time_since_epoch().count());
    Items.push_back(encodeOptional(Report.UsageSettledThrough));
  }
  std::string Bytes;
  Json::to_cbor(Items, Bytes);
  return Bytes;
}

Result<PeerReport> decodePeerReport(std::string_view Bytes) try {
  FIGLIFT_TRY(Root, parseCborMessage(Bytes));
  PeerReport Report;
  Report.Sender = Root.at(0).get<std::string>();
  for (const Json &Item : Root.at(1))
    Report.Loads.push_back(decodeLoad(Item));
  for (const Json &Item : Root.at(2))
    Report.Cached.push_back(
        {Item.at(0).get<std::string>(),
         {wholeNumber<uint64_t>(Item.at(1)), wholeNumber<uint32_t>(Item.at(2))},
         decodeTimeSpan(Item.at(3))});
  for (const Json &Item : Root.at(3))
    Report.Demands.push_back(
        {Item.at(0).get<std::string>(),
         {Item.at(1).get<double>(), Item.at(2).get<double>()}});
  for (const Json &Item : Root.at(4))
    Report.Unavailable.push_back(
        {Item.at(0).get<std::string>(), decodeTimeSpan(Item.at(1))});
  for (const Json &Item : Root.at(5))
    Report.Engines.push_back(decodeMeasurements(Item));
  // Earlier versions of the program send no limits.
  if (Root.size() > 6)
    for (const Json &Item : Root.at(6))
      Report.Limits.push_back(decodeLimit(Item));
  if (Root.size() > 8) {
    Report.Clock = WallTime(decodeUnixTime(Root.at(7)));
    if (!Root.at(8).is_null())
      Report.UsageSettledThrough = wholeNumber<uint64_t>(Root.at(8));
  }
  return Report;
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(), "peer report");
}

} // namespace figlift::dispatch
