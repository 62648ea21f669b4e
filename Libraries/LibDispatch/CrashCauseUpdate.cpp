//===- CrashCauseUpdate.cpp - Possible causes of crashes, for peers -------===//
//
// Items are encoded as arrays instead of objects to keep datagrams small.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/CrashCauseUpdate.h"

#include "LibCore/BoundedJson.h"
#include "LibDispatch/FingerprintJson.h"
#include "LibDispatch/StartTimeJson.h"

namespace figlift::dispatch {

using Json = nlohmann::json;

namespace {

Json encodeCrash(const CrashCauseUpdate::Crash &Crash) {
  Json Candidates = Json::array();
  for (const CrashCandidate &Candidate : Crash.Candidates)
    Candidates.push_back({encodeFingerprint(Candidate.Cause), Candidate.Depth,
                          Candidate.SentBefore.count()});
  return Json::array({Crash.Server.TargetId,
                      encodeStartTime(Crash.Server.Started), Crash.Age.count(),
                      std::move(Candidates)});
}

Result<CrashCandidate> decodeCandidate(const Json &Encoded) {
  CrashCandidate Candidate;
  FIGLIFT_TRY(Cause, decodeFingerprint(Encoded.at(0)));
  Candidate.Cause = Cause;
  Candidate.Depth = wholeNumber<unsigned>(Encoded.at(1));
  FIGLIFT_TRY(SentBefore, decodeAge(Encoded.at(2)));
  Candidate.SentBefore = SentBefore;
  return Candidate;
}

Result<CrashCauseUpdate::Crash> decodeCrash(const Json &Encoded) {
  CrashCauseUpdate::Crash Crash;
  Crash.Server.TargetId = Encoded.at(0).get<std::string>();
  Crash.Server.Started = decodeStartTime(Encoded.at(1));
  FIGLIFT_TRY(Age, decodeAge(Encoded.at(2)));
  Crash.Age = Age;
  for (const Json &EncodedCandidate : Encoded.at(3)) {
    FIGLIFT_TRY(Candidate, decodeCandidate(EncodedCandidate));
    Crash.Candidates.push_back(Candidate);
  }
  return Crash;
}

Result<CrashCauseUpdate::Survival> decodeSurvival(const Json &Encoded) {
  FIGLIFT_TRY(Cause, decodeFingerprint(Encoded.at(0)));
  FIGLIFT_TRY(Age, decodeAge(Encoded.at(1)));
  return CrashCauseUpdate::Survival{Cause, Age};
}

Result<CrashCauseUpdate::Trial> decodeTrial(const Json &Encoded) {
  FIGLIFT_TRY(Cause, decodeFingerprint(Encoded.at(0)));
  FIGLIFT_TRY(Age, decodeAge(Encoded.at(2)));
  return CrashCauseUpdate::Trial{Cause, wholeNumber<uint64_t>(Encoded.at(1)),
                                 Age};
}

} // namespace

std::string encodeCrashCauses(const CrashCauseUpdate &Update) {
  Json Crashes = Json::array();
  for (const CrashCauseUpdate::Crash &Crash : Update.Crashes)
    Crashes.push_back(encodeCrash(Crash));
  Json Survivals = Json::array();
  for (const CrashCauseUpdate::Survival &Survival : Update.Survivals)
    Survivals.push_back(
        {encodeFingerprint(Survival.Cause), Survival.Age.count()});
  Json Trials = Json::array();
  for (const CrashCauseUpdate::Trial &Trial : Update.Trials)
    Trials.push_back(
        {encodeFingerprint(Trial.Cause), Trial.Id, Trial.Age.count()});
  std::string Encoded;
  Json::to_cbor(Json::array({Crashes, Survivals, Trials}), Encoded);
  return Encoded;
}

Result<CrashCauseUpdate> decodeCrashCauses(std::string_view Bytes) try {
  FIGLIFT_TRY(Encoded, parseCborMessage(Bytes));
  CrashCauseUpdate Update;
  for (const Json &Item : Encoded.at(0)) {
    FIGLIFT_TRY(Crash, decodeCrash(Item));
    Update.Crashes.push_back(std::move(Crash));
  }
  for (const Json &Item : Encoded.at(1)) {
    FIGLIFT_TRY(Survival, decodeSurvival(Item));
    Update.Survivals.push_back(Survival);
  }
  for (const Json &Item : Encoded.at(2)) {
    FIGLIFT_TRY(Trial, decodeTrial(Item));
    Update.Trials.push_back(Trial);
  }
  return Update;
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(),
                 "crash cause update");
}

} // namespace figlift::dispatch
