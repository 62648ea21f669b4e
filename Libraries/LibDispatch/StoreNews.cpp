//===- StoreNews.cpp - What a process read in the store, for its peers ----===//
//
// Arrays in place of objects keep the datagram small.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StoreNews.h"

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
          static_cast<int>(Entry->EngineStage)};
}

Result<Stage> decodeStage(int Number) {
  for (const Stage Each : {Stage::None, Stage::Prefill, Stage::Decode})
    if (static_cast<int>(Each) == Number)
      return Each;
  return failure(ResultCode::InvalidInput, "no stage has this number",
                 "store news");
}

Result<ServerChange> decodeChange(const Json &From, uint64_t Era) {
  ServerChange Read{
      {Era, From.at(0).get<uint64_t>()}, From.at(1).get<std::string>(), {}};
  const Json &Entry = From.at(2);
  if (Entry.is_null())
    return Read;
  Target Which;
  Which.Id = Read.Id;
  Which.Started = decodeStartTime(Entry.at(0));
  Which.Heartbeat = Entry.at(1).get<uint64_t>();
  Which.Service = Entry.at(2).get<std::string>();
  Which.Address = {Entry.at(3).get<std::string>(), Entry.at(4).get<uint16_t>()};
  Which.Zone = Entry.at(5).get<std::string>();
  Which.Slots = Entry.at(6).get<unsigned>();
  Which.Draining = Entry.at(7).get<bool>();
  auto Does = decodeStage(Entry.at(8).get<int>());
  if (!Does)
    return outcome::failure(Does.error());
  Which.EngineStage = Does.value();
  Read.Entry = std::move(Which);
  return Read;
}

} // namespace

std::string encodeStoreNews(const StoreNews &What) {
  Json Changes = Json::array();
  for (const ServerChange &Each : What.Servers.Changes)
    Changes.push_back(
        Json::array({Each.Version.Number, Each.Id, encodeEntry(Each.Entry)}));
  std::string Bytes;
  Json::to_cbor(
      Json::array({What.From, What.Servers.After.Number,
                   What.Servers.UpTo.Number, What.Servers.Age.count(), Changes,
                   What.Configuration.Version, What.Configuration.Age.count(),
                   What.Servers.UpTo.Era}),
      Bytes);
  return Bytes;
}

Result<StoreNews> decodeStoreNews(std::string_view Bytes) try {
  const Json Root = Json::from_cbor(Bytes);
  StoreNews Read;
  Read.From = Root.at(0).get<std::string>();
  // Earlier processes tell no era; what they tell is older than any.
  const uint64_t Era = Root.size() > 7 ? Root.at(7).get<uint64_t>() : 0;
  Read.Servers.After = {Era, Root.at(1).get<uint64_t>()};
  Read.Servers.UpTo = {Era, Root.at(2).get<uint64_t>()};
  Read.Servers.Age = milliseconds(Root.at(3).get<int64_t>());
  for (const Json &Each : Root.at(4)) {
    auto Change = decodeChange(Each, Era);
    if (!Change)
      return outcome::failure(Change.error());
    Read.Servers.Changes.push_back(std::move(Change.value()));
  }
  Read.Configuration.Version = Root.at(5).get<uint64_t>();
  Read.Configuration.Age = milliseconds(Root.at(6).get<int64_t>());
  return Read;
} catch (const Json::exception &Thrown) {
  return failure(ResultCode::InvalidInput, Thrown.what(), "store news");
}

} // namespace figlift::dispatch
