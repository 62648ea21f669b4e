//===- PaceUpdate.cpp - Measured paces for the peers ----------------------===//
//
// Numbers are encoded as hundredths, which are short in CBOR.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PaceUpdate.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace figlift::dispatch {

using Json = nlohmann::json;

namespace {

constexpr double Hundredths = 100;

Json encodeSamples(const std::vector<TargetSamples> &Samples) {
  Json Encoded = Json::array();
  for (const TargetSamples &Row : Samples)
    Encoded.push_back({Row.TargetId, std::llround(Row.Sum * Hundredths),
                       std::llround(Row.Count * Hundredths)});
  return Encoded;
}

std::vector<TargetSamples> decodeSamples(const Json &Encoded) {
  std::vector<TargetSamples> Samples;
  for (const Json &Row : Encoded)
    Samples.push_back(
        {Row.at(0).get<std::string>(),
         static_cast<double>(Row.at(1).get<int64_t>()) / Hundredths,
         static_cast<double>(Row.at(2).get<uint64_t>()) / Hundredths});
  return Samples;
}

} // namespace

std::string encodePaceUpdate(const PaceUpdate &Update) {
  std::string Bytes;
  Json::to_cbor(Json::array({Update.Sender, encodeSamples(Update.Intervals),
                             encodeSamples(Update.ReadRatios),
                             encodeSamples(Update.PauseRatios)}),
                Bytes);
  return Bytes;
}

Result<PaceUpdate> decodePaceUpdate(std::string_view Bytes) try {
  const Json Root = Json::from_cbor(Bytes);
  return PaceUpdate{Root.at(0).get<std::string>(), decodeSamples(Root.at(1)),
                    decodeSamples(Root.at(2)), decodeSamples(Root.at(3))};
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(), "pace update");
}

} // namespace figlift::dispatch
