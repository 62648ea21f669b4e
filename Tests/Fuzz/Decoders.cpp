//===- Decoders.cpp - Everything that reads bytes from outside ------------===//
//
// See Decoders.h.
//
//===----------------------------------------------------------------------===//

#include "Fuzz/Decoders.h"

#include "LibConfig/ConfigRows.h"
#include "LibConfig/WireDelta.h"
#include "LibCore/Endpoint.h"
#include "LibIdempotency/Slice.h"
#include "LibRecord/Record.h"
#include "LibRecord/RecordText.h"
#include "LibSettings/Settings.h"
#include "LibTarget/EngineMessages.h"
#include "LibTarget/EventStreamParser.h"
#include "LibTimeline/MergedTimeline.h"
#include "LibWire/Messages.pb.h"
#include "platform/EngineCalls.h"
#include "platform/Rows.h"

using namespace figlift;
using namespace figlift::test;

namespace {

/// An error must say where or what; \p Read is a Result.
template <typename R> std::string judge(const R &Read) {
  if (Read.has_value())
    return {};
  const Error &Why = Read.error();
  return Why.Message.empty() && Why.Field.empty() ? "an error without a text"
                                                  : "";
}

std::string decodeRecords(std::string_view Bytes) {
  const auto Read = record::parseRecords(Bytes);
  if (!Read && Read.error().Code != ResultCode::RecordInvalid)
    return "another code than RecordInvalid";
  if (std::string Fault = judge(record::splitRecords(Bytes)); !Fault.empty())
    return Fault;
  return judge(Read);
}

std::string decodeSettings(std::string_view Bytes) {
  if (std::string Fault = judge(settings::parseAgentSettings(Bytes));
      !Fault.empty())
    return Fault;
  return judge(settings::parseEntrySettings(Bytes));
}

/// What is accepted must survive being written and read again.
template <typename Message> std::string decodeMessage(std::string_view Bytes) {
  Message First;
  if (!First.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return {};
  Message Second;
  const std::string Text = First.SerializeAsString();
  if (!Second.ParseFromString(Text) || Second.SerializeAsString() != Text)
    return "does not read back";
  return {};
}

std::string decodeDeltas(std::string_view Bytes) {
  wire::SyncUp Sync;
  if (Sync.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    config::fromSyncUp(Sync);
  wire::ConfigurationReply Reply;
  if (Reply.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    config::fromReply(Reply, 0);
  return {};
}

std::string decodeRows(std::string_view Bytes) {
  platform::Row Row;
  Row.Key = "config/record/backEnd/x";
  Row.Version = 1;
  Row.Value = std::string(Bytes);
  for (const std::string &Fault :
       {judge(config::decodeHead(Row)), judge(config::decodeRecord(Row)),
        judge(config::decodeChange(Row)), judge(config::decodeOperation(Row))})
    if (!Fault.empty())
      return Fault;
  return {};
}

std::string decodeEngine(std::string_view Bytes) {
  target::EventStreamParser Parser(4096);
  for (const std::string &Data : Parser.parse(Bytes))
    if (std::string Fault = judge(target::readStreamItem(Data)); !Fault.empty())
      return Fault;
  for (const std::string &Fault :
       {judge(target::readState(Bytes)), judge(target::readLoad(Bytes)),
        judge(target::readCacheEvents(Bytes))})
    if (!Fault.empty())
      return Fault;
  target::readOrderRefusal(409, Bytes);
  return {};
}

std::string decodeSmall(std::string_view Bytes) {
  idempotency::mintTimeOf(Bytes);
  if (idempotency::sliceOf(Bytes) >= idempotency::SliceCount)
    return "a slice beyond the last";
  if (std::string Fault = judge(timeline::parseResponse({}, Bytes));
      !Fault.empty())
    return Fault;
  return judge(Endpoint::parse(Bytes));
}

/// What operator, servers and any other writer leave in the platform's store,
/// and what engines answer. An entry that is taken has an address to use.
std::string decodePlatform(std::string_view Bytes) {
  const auto Server = slopes::decodeServer("i-1", Bytes);
  if (Server && (Server.value().Service.empty() ||
                 Server.value().Address.Address.empty()))
    return "a server without a service or an address";
  for (const std::string &Fault :
       {judge(Server), judge(slopes::decodeConfiguration(Bytes)),
        judge(slopes::decodeEngineReport(Bytes)),
        judge(slopes::decodePrefillResult(Bytes))})
    if (!Fault.empty())
      return Fault;
  return {};
}

std::string goodRun() {
  wire::RunRequest Run;
  Run.set_request_id("r");
  Run.set_attempt_id("a");
  Run.set_revision(7);
  Run.mutable_completion()->set_model("desk");
  Run.mutable_completion()->set_prompt("Is slot 7 free?");
  Run.mutable_completion()->add_prefix_hashes(99);
  return Run.SerializeAsString();
}

std::vector<Decoder> allDecoders() {
  const std::string Record = R"({"schemaVersion": 2, "kind": "backEnd",
 "name": "lm-desk", // comment
 "spec": {"type": "model", "models": [{"name": "desk", "version": "1"}],
          "roles": {"mixed": 1}}})";
  const std::string Settings =
      R"({"process": {"id": "a", "zone": "hall-a", "region": "blue-ridge"},
 "listen": {"peer": "127.0.0.1:7001", "admin": "127.0.0.1:7002"},
 "target": {"address": "127.0.0.1:7003", "type": "engine", "backEnd": "x"},
 "platform": {"address": "127.0.0.1:7004", "timeout": "250ms"},
 "limits": {"requestBytes": "8MiB"}})";
  return {
      {"records", decodeRecords, {Record, "[" + Record + "," + Record + "]"}},
      {"settings", decodeSettings, {Settings}},
      {"run", decodeMessage<wire::RunRequest>, {goodRun()}},
      {"frame", decodeMessage<wire::RunFrame>, {goodRun()}},
      {"order", decodeMessage<wire::OrderRequest>, {goodRun()}},
      {"handover", decodeMessage<wire::HandoverRequest>, {goodRun()}},
      {"deltas", decodeDeltas, {goodRun()}},
      {"rows",
       decodeRows,
       {R"({"revision": 7})", R"({"kind": "backEnd", "name": "x"})",
        R"({"version": 1, "revision": 2, "withdrawn": false, "record": "{}"})"}},
      {"engine",
       decodeEngine,
       {"data: {\"index\": 0, \"text\": \" w1\"}\n\ndata: [DONE]\n\n",
        R"({"role": "mixed", "models": [{"name": "desk", "version": "1"}],
            "order_id": "", "order_state": "done", "boot": "b"})",
        R"({"queued_prefill_tokens": 1, "running": 2, "kv_free_tokens": 3})",
        R"({"events": [{"sequence": 1, "stored": 5}]})"}},
      {"platform",
       decodePlatform,
       {R"({"service":"a","address":"10.0.0.1:80","zone":"z","version":"v1",
            "slots":8,"state":"ready","coldRemainingMs":0,"stage":"decode",
            "sequence":4,"born":1790000000000})",
        R"({"version":7,"routes":[{"host":"h","prefix":"/a/","kind":"safe",
            "timeoutMs":100,"service":"a"}],"services":[{"name":"a",
            "engine":{"slots":8}}]})",
        R"({"stage":"decode","busy":false,"sequence":2,"born":1})",
        R"({"kvHandle":"3fa0","tokens":1460})"}},
      {"small",
       decodeSmall,
       {"127.0.0.1:80", "018f3a3e-7b2a-7c11-8a55-0123456789ab",
        R"({"process": "a", "events": []})"}},
  };
}

} // namespace

std::span<const Decoder> figlift::test::decoders() {
  static const auto *Known = new std::vector<Decoder>(allDecoders());
  return *Known;
}
