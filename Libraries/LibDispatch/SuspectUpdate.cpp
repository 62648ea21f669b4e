//===- SuspectUpdate.cpp - Crashes of a request, for peers ----------------===//
//
// Items are encoded as arrays instead of objects to keep datagrams small.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/SuspectUpdate.h"

#include "LibCore/BoundedJson.h"
#include "LibDispatch/FingerprintJson.h"
#include "LibDispatch/StartTimeJson.h"

namespace figlift::dispatch {

using Json = nlohmann::json;

namespace {

Json encodeCrash(const SuspectUpdate::Crash &Crash) {
  return {Crash.Server.TargetId, encodeStartTime(Crash.Server.Started),
          Crash.Age.count(), Crash.Rank};
}

Result<SuspectUpdate::Crash> decodeCrash(const Json &Encoded) {
  SuspectUpdate::Crash Crash;
  Crash.Server.TargetId = Encoded.at(0).get<std::string>();
  Crash.Server.Started = decodeStartTime(Encoded.at(1));
  FIGLIFT_TRY(Age, decodeAge(Encoded.at(2)));
  Crash.Age = Age;
  // Earlier versions of the program send no rank.
  if (Encoded.size() > 3)
    Crash.Rank = wholeNumber<unsigned>(Encoded.at(3));
  if (Crash.Rank == 0)
    return failure(ResultCode::InvalidInput, "ranks begin with 1",
                   "suspect update");
  return Crash;
}

Result<SuspectUpdate> decodeUpdate(const Json &Encoded) {
  SuspectUpdate Update;
  FIGLIFT_TRY(Request, decodeFingerprint(Encoded.at(0)));
  Update.Request = Request;
  for (const Json &EncodedCrash : Encoded.at(1)) {
    FIGLIFT_TRY(Crash, decodeCrash(EncodedCrash));
    Update.Crashes.push_back(std::move(Crash));
  }
  if (!Encoded.at(2).is_null()) {
    FIGLIFT_TRY(ClearedAge, decodeAge(Encoded.at(2)));
    Update.ClearedAge = ClearedAge;
  }
  FIGLIFT_TRY(Isolation, decodeAge(Encoded.at(3)));
  Update.Isolation = Isolation;
  return Update;
}

} // namespace

std::string encodeSuspectUpdates(const std::vector<SuspectUpdate> &Updates) {
  Json List = Json::array();
  for (const SuspectUpdate &Update : Updates) {
    Json Crashes = Json::array();
    for (const SuspectUpdate::Crash &Crash : Update.Crashes)
      Crashes.push_back(encodeCrash(Crash));
    Json ClearedAge = nullptr;
    if (Update.ClearedAge)
      ClearedAge = Update.ClearedAge->count();
    List.push_back(Json::array({encodeFingerprint(Update.Request), Crashes,
                                ClearedAge, Update.Isolation.count()}));
  }
  std::string Encoded;
  Json::to_cbor(List, Encoded);
  return Encoded;
}

Result<std::vector<SuspectUpdate>>
decodeSuspectUpdates(std::string_view Bytes) try {
  std::vector<SuspectUpdate> Updates;
  FIGLIFT_TRY(Root, parseCborMessage(Bytes));
  for (const Json &Encoded : Root) {
    FIGLIFT_TRY(Update, decodeUpdate(Encoded));
    Updates.push_back(std::move(Update));
  }
  return Updates;
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(), "suspect update");
}

} // namespace figlift::dispatch
