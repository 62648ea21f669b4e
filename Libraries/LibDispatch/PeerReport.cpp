//===- PeerReport.cpp - What gateways tell each other ---------------------===//
//
// Arrays in place of objects keep the datagram within one packet.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PeerReport.h"

#include <nlohmann/json.hpp>

namespace figlift::dispatch {

using Json = nlohmann::json;

std::string encodePeerReport(const PeerReport &What) {
  Json Loads = Json::array();
  for (const PeerLoad &Each : What.Loads)
    // Hundredths of a millisecond are short in CBOR, and finer than needed.
    Loads.push_back({Each.TargetId,
                     static_cast<uint64_t>(Each.Cost.count() * 100), Each.Items,
                     Each.Turnover});
  Json Cached = Json::array();
  for (const CachedPart &Each : What.Cached)
    Cached.push_back({Each.TargetId, Each.Part.Id, Each.Part.Tokens});
  Json Demands = Json::array();
  for (const ServiceDemand &Each : What.Demands)
    Demands.push_back({Each.Service, Each.Demand.Read, Each.Demand.Run});
  Json Away = Json::array();
  for (const AwayTarget &Each : What.Away)
    Away.push_back({Each.TargetId, Each.Left.count()});
  std::string Bytes;
  Json::to_cbor(Json::array({What.From, Loads, Cached, Demands, Away}), Bytes);
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
         Each.at(2).get<uint32_t>(), Each.at(3).get<double>()});
  for (const Json &Each : Root.at(2))
    Read.Cached.push_back(
        {Each.at(0).get<std::string>(),
         {Each.at(1).get<uint64_t>(), Each.at(2).get<uint32_t>()}});
  for (const Json &Each : Root.at(3))
    Read.Demands.push_back(
        {Each.at(0).get<std::string>(),
         {Each.at(1).get<double>(), Each.at(2).get<double>()}});
  for (const Json &Each : Root.at(4))
    Read.Away.push_back({Each.at(0).get<std::string>(),
                         std::chrono::milliseconds(Each.at(1).get<int64_t>())});
  return Read;
} catch (const Json::exception &Thrown) {
  return failure(ResultCode::InvalidInput, Thrown.what(), "peer report");
}

} // namespace figlift::dispatch
