//===- StoreUpdate.cpp - Store contents, for peers ------------------------===//
//
// Items are encoded as arrays instead of objects to keep datagrams small.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StoreUpdate.h"

#include "LibCore/BoundedJson.h"
#include "LibDispatch/StartTimeJson.h"

#include <nlohmann/json.hpp>

namespace figlift::dispatch {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

Json encodeEntry(const std::optional<Target> &Entry) {
  if (!Entry)
    return nullptr;
  return {encodeStartTime(Entry->Started),
          Entry->Heartbeat,
          Entry->Service,
          Entry->Address.Address,
          Entry->Address.Port,
          Entry->Zone,
          Entry->Slots,
          Entry->Draining,
          static_cast<int>(Entry->EngineStage),
          Entry->SoftwareVersion};
}

Result<Stage> decodeStage(int Number) {
  for (const Stage Candidate : {Stage::None, Stage::Prefill, Stage::Decode})
    if (static_cast<int>(Candidate) == Number)
      return Candidate;
  return failure(ResultCode::InvalidInput, "no stage has this number",
                 "store update");
}

Result<ServerChange> decodeChange(const Json &Encoded, uint64_t Era) {
  ServerChange Change{{Era, wholeNumber<uint64_t>(Encoded.at(0))},
                      Encoded.at(1).get<std::string>(),
                      {},
                      {}};
  // Earlier versions of the program send no last write.
  if (Encoded.size() > 3)
    Change.Last = LastWrite{decodeStartTime(Encoded.at(3).at(0)),
                            wholeNumber<uint64_t>(Encoded.at(3).at(1))};
  const Json &EncodedEntry = Encoded.at(2);
  if (EncodedEntry.is_null())
    return Change;
  Target Server;
  Server.Id = Change.Id;
  Server.Started = decodeStartTime(EncodedEntry.at(0));
  Server.Heartbeat = wholeNumber<uint64_t>(EncodedEntry.at(1));
  Server.Service = EncodedEntry.at(2).get<std::string>();
  Server.Address = {EncodedEntry.at(3).get<std::string>(),
                    wholeNumber<uint16_t>(EncodedEntry.at(4))};
  Server.Zone = EncodedEntry.at(5).get<std::string>();
  Server.Slots = wholeNumber<unsigned>(EncodedEntry.at(6));
  Server.Draining = EncodedEntry.at(7).get<bool>();
  auto DecodedStage = decodeStage(wholeNumber<int>(EncodedEntry.at(8)));
  if (!DecodedStage)
    return outcome::failure(DecodedStage.error());
  Server.EngineStage = DecodedStage.value();
  // Earlier versions of the program send no software version.
  if (EncodedEntry.size() > 9)
    Server.SoftwareVersion = EncodedEntry.at(9).get<std::string>();
  Change.Entry = std::move(Server);
  return Change;
}

/// Most bytes of the changes in one update: a datagram carries 65,507, with the
/// seal and the other items.
constexpr size_t MaximumChangeBytes = 64000;

Json encodeChange(const ServerChange &Change) {
  Json Encoded = Json::array(
      {Change.Version.Number, Change.Id, encodeEntry(Change.Entry)});
  if (Change.Last)
    Encoded.push_back(Json::array(
        {encodeStartTime(Change.Last->Started), Change.Last->Heartbeat}));
  return Encoded;
}

/// Leaves the oldest changes out if not all of them fit into a datagram. The
/// update then begins after the version of the last one that is left out, and a
/// peer that does not know that version reads the store.
ServerUpdate fitIntoDatagram(ServerUpdate Update) {
  size_t Bytes = 0;
  for (auto Change = Update.Changes.rbegin(); Change != Update.Changes.rend();
       ++Change) {
    Bytes += Json::to_cbor(encodeChange(*Change)).size();
    if (Bytes <= MaximumChangeBytes)
      continue;
    Update.After = Change->Version;
    std::erase_if(Update.Changes, [&](const ServerChange &Any) {
      return Any.Version <= Update.After;
    });
    break;
  }
  return Update;
}

} // namespace

std::string encodeStoreUpdate(const StoreUpdate &Complete) {
  StoreUpdate Update = Complete;
  Update.Servers = fitIntoDatagram(std::move(Update.Servers));
  Json Changes = Json::array();
  for (const ServerChange &Change : Update.Servers.Changes)
    Changes.push_back(encodeChange(Change));
  std::string Bytes;
  Json::to_cbor(
      Json::array({Update.Sender, Update.Servers.After.Number,
                   Update.Servers.UpTo.Number, Update.Servers.Age.count(),
                   Changes, Update.Configuration.Version,
                   Update.Configuration.Age.count(), Update.Servers.UpTo.Era}),
      Bytes);
  return Bytes;
}

Result<StoreUpdate> decodeStoreUpdate(std::string_view Bytes) try {
  FIGLIFT_TRY(Root, parseCborMessage(Bytes));
  StoreUpdate Update;
  Update.Sender = Root.at(0).get<std::string>();
  // Earlier versions of the program send no era. Era 0 is older than any other.
  const uint64_t Era = Root.size() > 7 ? wholeNumber<uint64_t>(Root.at(7)) : 0;
  Update.Servers.After = {Era, wholeNumber<uint64_t>(Root.at(1))};
  Update.Servers.UpTo = {Era, wholeNumber<uint64_t>(Root.at(2))};
  Update.Servers.Age = decodeTimeSpan(Root.at(3));
  for (const Json &Encoded : Root.at(4)) {
    auto Change = decodeChange(Encoded, Era);
    if (!Change)
      return outcome::failure(Change.error());
    Update.Servers.Changes.push_back(std::move(Change.value()));
  }
  Update.Configuration.Version = wholeNumber<uint64_t>(Root.at(5));
  Update.Configuration.Age = decodeTimeSpan(Root.at(6));
  return Update;
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(), "store update");
}

} // namespace figlift::dispatch
