//===- SuspectNews.cpp - Crashes under a request, for peers ---------------===//
//
// Arrays in place of objects keep the datagram small.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/SuspectNews.h"

#include "LibDispatch/StartTimeJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace figlift::dispatch {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

Json encodeCrash(const SuspectNews::Crash &What) {
  return {What.Server.TargetId, encodeStartTime(What.Server.Started),
          What.Age.count(), What.Rank};
}

/// Fails for a time that no sender writes: of the future, or absurd.
Result<milliseconds> decodeTime(const Json &From) {
  constexpr int64_t Most = 1000LL * 3600 * 24 * 365;
  const auto Count = From.get<int64_t>();
  if (Count < 0 || Count > Most)
    return failure(ResultCode::InvalidInput,
                   "found " + std::to_string(Count) +
                       " ms; allowed: 0 to a year",
                   "suspect news");
  return milliseconds(Count);
}

Result<SuspectNews::Crash> decodeCrash(const Json &From) {
  SuspectNews::Crash Read;
  Read.Server.TargetId = From.at(0).get<std::string>();
  Read.Server.Started = decodeStartTime(From.at(1));
  FIGLIFT_TRY(Age, decodeTime(From.at(2)));
  Read.Age = Age;
  // Earlier versions of the program tell none.
  if (From.size() > 3)
    Read.Rank = From.at(3).get<unsigned>();
  if (Read.Rank == 0)
    return failure(ResultCode::InvalidInput, "ranks begin with 1",
                   "suspect news");
  return Read;
}

Result<SuspectNews> decodeOne(const Json &From) {
  SuspectNews Read;
  const auto &Bytes = From.at(0).get_binary();
  if (Bytes.size() != Read.Request.Bytes.size())
    return failure(ResultCode::InvalidInput, "a fingerprint has 16 bytes",
                   "suspect news");
  std::copy(Bytes.begin(), Bytes.end(), Read.Request.Bytes.begin());
  for (const Json &Each : From.at(1)) {
    FIGLIFT_TRY(Crash, decodeCrash(Each));
    Read.Crashes.push_back(std::move(Crash));
  }
  if (!From.at(2).is_null()) {
    FIGLIFT_TRY(Cleared, decodeTime(From.at(2)));
    Read.Cleared = Cleared;
  }
  FIGLIFT_TRY(Alone, decodeTime(From.at(3)));
  Read.Alone = Alone;
  return Read;
}

} // namespace

std::string encodeSuspectNews(const std::vector<SuspectNews> &What) {
  Json All = Json::array();
  for (const SuspectNews &Each : What) {
    Json Crashes = Json::array();
    for (const SuspectNews::Crash &Crash : Each.Crashes)
      Crashes.push_back(encodeCrash(Crash));
    Json Cleared = nullptr;
    if (Each.Cleared)
      Cleared = Each.Cleared->count();
    const auto &Bytes = Each.Request.Bytes;
    All.push_back(Json::array(
        {Json::binary(std::vector<uint8_t>(Bytes.begin(), Bytes.end())),
         Crashes, Cleared, Each.Alone.count()}));
  }
  std::string Encoded;
  Json::to_cbor(All, Encoded);
  return Encoded;
}

Result<std::vector<SuspectNews>> decodeSuspectNews(std::string_view Bytes) try {
  std::vector<SuspectNews> Read;
  for (const Json &Each : Json::from_cbor(Bytes)) {
    FIGLIFT_TRY(One, decodeOne(Each));
    Read.push_back(std::move(One));
  }
  return Read;
} catch (const Json::exception &Thrown) {
  return failure(ResultCode::InvalidInput, Thrown.what(), "suspect news");
}

} // namespace figlift::dispatch
