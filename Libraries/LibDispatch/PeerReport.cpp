//===- PeerReport.cpp - What gateways tell each other ---------------------===//
//
// Arrays in place of objects keep the datagram within one packet.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PeerReport.h"

#include "LibDispatch/StartTimeJson.h"

#include <nlohmann/json.hpp>

namespace figlift::dispatch {

using Json = nlohmann::json;

namespace {

Json encodeFigures(const ServiceFigures &What) {
  const engine::EngineParameters &Of = What.Figures;
  return {What.Service,
          Of.PrefillFixed.count(),
          Of.PrefillPerThousandTokens.count(),
          Of.PrefillPerMillionPairs.count(),
          Of.FetchFixed.count(),
          Of.PrefillWeight,
          Of.DecodePrefillFactor,
          Of.DecodePrefillWeight,
          Of.DecodeStartFixed.count(),
          Of.TransferFactor,
          Of.DecodeStartWeight};
}

ServiceFigures decodeFigures(const Json &From) {
  const auto Number = [&](size_t At) { return From.at(At).get<double>(); };
  ServiceFigures Read;
  Read.Service = From.at(0).get<std::string>();
  Read.Figures.PrefillFixed = Milliseconds(Number(1));
  Read.Figures.PrefillPerThousandTokens = Milliseconds(Number(2));
  Read.Figures.PrefillPerMillionPairs = Milliseconds(Number(3));
  Read.Figures.FetchFixed = Milliseconds(Number(4));
  Read.Figures.PrefillWeight = Number(5);
  Read.Figures.DecodePrefillFactor = Number(6);
  Read.Figures.DecodePrefillWeight = Number(7);
  Read.Figures.DecodeStartFixed = Milliseconds(Number(8));
  Read.Figures.TransferFactor = Number(9);
  Read.Figures.DecodeStartWeight = Number(10);
  return Read;
}

Json encodeLimit(const LimitNews &What) {
  Json PerSecond = nullptr;
  if (What.PerSecond)
    PerSecond = *What.PerSecond;
  return {What.Server.TargetId, encodeStartTime(What.Server.Started), PerSecond,
          What.Age.count()};
}

LimitNews decodeLimit(const Json &From) {
  LimitNews Read;
  Read.Server.TargetId = From.at(0).get<std::string>();
  Read.Server.Started = decodeStartTime(From.at(1));
  if (!From.at(2).is_null())
    Read.PerSecond = From.at(2).get<double>();
  Read.Age = std::chrono::milliseconds(From.at(3).get<int64_t>());
  return Read;
}

} // namespace

std::string encodePeerReport(const PeerReport &What) {
  Json Loads = Json::array();
  for (const PeerLoad &Each : What.Loads)
    // Hundredths of a millisecond are short in CBOR, and finer than needed.
    Loads.push_back({Each.TargetId,
                     static_cast<uint64_t>(Each.Cost.count() * 100), Each.Items,
                     Each.CompletionRate,
                     static_cast<uint64_t>(Each.PrefillCost.count() * 100)});
  Json Cached = Json::array();
  for (const CachedPart &Each : What.Cached)
    Cached.push_back(
        {Each.TargetId, Each.Part.Id, Each.Part.Tokens, Each.Within.count()});
  Json Demands = Json::array();
  for (const ServiceDemand &Each : What.Demands)
    Demands.push_back({Each.Service, Each.Demand.Prefill, Each.Demand.Decode});
  Json Away = Json::array();
  for (const AwayTarget &Each : What.Away)
    Away.push_back({Each.TargetId, Each.Left.count()});
  Json Engines = Json::array();
  for (const ServiceFigures &Each : What.Engines)
    Engines.push_back(encodeFigures(Each));
  Json Limits = Json::array();
  for (const LimitNews &Each : What.Limits)
    Limits.push_back(encodeLimit(Each));
  std::string Bytes;
  Json::to_cbor(
      Json::array({What.From, Loads, Cached, Demands, Away, Engines, Limits}),
      Bytes);
  return Bytes;
}

Result<PeerReport> decodePeerReport(std::string_view Bytes) try {
  const Json Root = Json::from_cbor(Bytes);
  PeerReport Read;
  Read.From = Root.at(0).get<std::string>();
  for (const Json &Each : Root.at(1))
    Read.Loads.push_back(
        {Each.at(0).get<std::string>(),
         Milliseconds(static_cast<double>(Each.at(1).get<uint64_t>()) / 100),
         Each.at(2).get<uint32_t>(), Each.at(3).get<double>(),
         Milliseconds(static_cast<double>(Each.at(4).get<uint64_t>()) / 100)});
  for (const Json &Each : Root.at(2))
    Read.Cached.push_back(
        {Each.at(0).get<std::string>(),
         {Each.at(1).get<uint64_t>(), Each.at(2).get<uint32_t>()},
         std::chrono::milliseconds(Each.at(3).get<int64_t>())});
  for (const Json &Each : Root.at(3))
    Read.Demands.push_back(
        {Each.at(0).get<std::string>(),
         {Each.at(1).get<double>(), Each.at(2).get<double>()}});
  for (const Json &Each : Root.at(4))
    Read.Away.push_back({Each.at(0).get<std::string>(),
                         std::chrono::milliseconds(Each.at(1).get<int64_t>())});
  for (const Json &Each : Root.at(5))
    Read.Engines.push_back(decodeFigures(Each));
  // Earlier processes tell no limits.
  if (Root.size() > 6)
    for (const Json &Each : Root.at(6))
      Read.Limits.push_back(decodeLimit(Each));
  return Read;
} catch (const Json::exception &Thrown) {
  return failure(ResultCode::InvalidInput, Thrown.what(), "peer report");
}

} // namespace figlift::dispatch
