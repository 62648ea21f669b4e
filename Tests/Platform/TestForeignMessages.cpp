//===- TestForeignMessages.cpp - Odd messages to every decoder ------------===//
//
// Each field of a valid message is replaced by values that no correct sender
// writes. A decoder accepts the message or refuses it with an error; it neither
// throws nor ends the process.
//
//===----------------------------------------------------------------------===//

#include "LibCore/BoundedJson.h"
#include "LibDispatch/CrashCauseUpdate.h"
#include "LibDispatch/PaceUpdate.h"
#include "LibDispatch/PeerReport.h"
#include "LibDispatch/StoreUpdate.h"
#include "LibDispatch/StreamOriginUpdate.h"
#include "LibDispatch/SuspectUpdate.h"
#include "LibDispatch/TenantShareUpdate.h"
#include "LibDispatch/VersionRecord.h"
#include "LibUsage/UsageUpdate.h"
#include "platform/EngineCalls.h"
#include "platform/RowPage.h"
#include "platform/Rows.h"
#include "platform/StoreClient.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using namespace figlift::slopes;
using std::chrono::milliseconds;
using Json = nlohmann::json;

namespace {

struct Decoder {
  const char *Name;
  std::string Valid;
  /// Empty if the message is accepted.
  std::function<std::optional<Error>(std::string_view)> Decode;
};

template <typename Function> auto errorOf(Function Decode) {
  return [Decode](std::string_view Bytes) -> std::optional<Error> {
    const auto Decoded = Decode(Bytes);
    if (Decoded)
      return std::nullopt;
    return Decoded.error();
  };
}

std::vector<Decoder> textDecoders() {
  return {
      {"configuration",
       R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/",
           "kind":"streaming","timeoutMs":2000,"targetLatencyMs":120,
           "priority":0,"backends":[{"service":"a","weight":90}],
           "maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":150}],
           "services":[{"name":"a","healthPath":"/h","maxConnections":140,
           "engine":{"slots":8,"kvCapacity":13,"tokenKvBytes":18,
           "linkMbps":6.5,"kvHoldS":5,"stageSwitchS":3}}],
           "limits":{"maxHeaderBytes":16384,"idleTimeoutMs":15000},
           "tenants":[{"name":"t","apiKeys":["k"],"priority":3}]})",
       errorOf(decodeConfiguration)},
      {"server",
       R"({"service":"a","address":"10.0.0.1:1","zone":"z","version":"v",
           "slots":8,"state":"ready","coldRemainingMs":0,"stage":"decode",
           "sequence":4,"born":1790000000000})",
       errorOf([](std::string_view Text) { return decodeServer("i", Text); })},
      {"rows",
       R"({"rows":[{"table":"t","part":"","key":"k","value":"bm8=","ver":4},
           {"key":"l","ver":5,"tombstone":true}],"morePages":false,"ver":9,
           "nowMs":5})",
       errorOf([](std::string_view Text) {
         bool More = false;
         return decodeRows(Text, More);
       })},
      {"prefill", R"({"kvHandle":"3fa0","tokens":1460})",
       errorOf(decodePrefillResult)},
      {"report", R"({"stage":"decode","busy":true,"sequence":2,"born":1})",
       errorOf(decodeEngineReport)},
      {"cache list", R"({"epoch":"a","held":[["","5c1e",800,"m"]]})",
       errorOf(decodeCacheList)},
      {"versions",
       R"({"completeSinceMs":5,"cut":false,"era":2,"versions":[
           {"version":"v1","takeUpMs":100,"untilMs":9}]})",
       errorOf(decodeVersionRecord)},
      {"usage", R"({"window":4,"counts":{"a":7}})",
       errorOf(usage::decodeReport)}};
}

std::vector<Decoder> datagramDecoders() {
  const ServerStart Start{"i", StartTime(milliseconds(5))};
  PeerReport Report;
  Report.Sender = "g";
  Report.Loads = {{"e", Milliseconds(12), 3, 0.25, Milliseconds(5)}};
  Report.Loads[0].ByPriority = {{1, 2, Milliseconds(3)}};
  Report.Cached = {{"e", {7, 8}, milliseconds(250)}};
  Report.Demands = {{"s", {1.5, 2.5}}};
  Report.Unavailable = {{"f", milliseconds(900)}};
  Report.Engines = {{"s", {}}};
  Report.Limits = {{Start, 2.5, milliseconds(7)}};
  Report.Clock = WallTime(milliseconds(9));
  Report.UsageSettledThrough = 3;
  CrashCauseUpdate Causes;
  Causes.Crashes = {{Start, milliseconds(3), {{{}, 1, milliseconds(2)}}}};
  Causes.Survivals = {{{}, milliseconds(4)}};
  Causes.Trials = {{{}, 6, milliseconds(4)}};
  SuspectUpdate Suspect;
  Suspect.Crashes = {{Start, milliseconds(3), 1}};
  Suspect.ClearedAge = milliseconds(2);
  TenantShareUpdate Shares;
  Shares.Sender = "g";
  PoolDemand &Pool = Shares.Pools.emplace_back();
  Pool.Pool = {"s", 1};
  Pool.Largest = {{5, 1.5}};
  Pool.RefusedAgo = milliseconds(3);
  PaceUpdate Paces;
  Paces.Sender = "g";
  Paces.Intervals = {{"e", 1.5, 2, StartTime(milliseconds(5))}};
  StoreUpdate Store;
  Store.Sender = "g";
  Store.Servers.After = {2, 5};
  Store.Servers.UpTo = {2, 7};
  Target Server;
  Server.Id = "i";
  Server.Service = "s";
  Server.Address = {"10.0.0.1", 80};
  Server.Zone = "z";
  Store.Servers.Changes = {{{2, 6}, "i", Server}, {{2, 7}, "j", std::nullopt}};
  StreamOriginUpdate Origins;
  Origins.Origin = {"s", "v1"};
  Origins.Streams.resize(2);
  usage::UsageUpdate Usage;
  Usage.Sender = "g";
  Usage.Sums = {{1, true, {{"a", 2}}}};
  return {
      {"peer report", encodePeerReport(Report), errorOf(decodePeerReport)},
      {"crash causes", encodeCrashCauses(Causes), errorOf(decodeCrashCauses)},
      {"suspects", encodeSuspectUpdates({Suspect}),
       errorOf(decodeSuspectUpdates)},
      {"tenant shares", encodeTenantShares(Shares),
       errorOf(decodeTenantShares)},
      {"paces", encodePaceUpdate(Paces), errorOf(decodePaceUpdate)},
      {"store update", encodeStoreUpdate(Store), errorOf(decodeStoreUpdate)},
      {"stream origins", encodeStreamOrigins(Origins),
       errorOf(decodeStreamOrigins)},
      {"usage sums", encodeUsageUpdate(Usage),
       errorOf(usage::decodeUsageUpdate)}};
}

/// Every position in \p Value, the whole of it included.
std::vector<Json::json_pointer> positions(const Json &Value) {
  std::vector<Json::json_pointer> Found = {Json::json_pointer()};
  const std::function<void(const Json &, const Json::json_pointer &)> Visit =
      [&](const Json &Part, const Json::json_pointer &Path) {
        if (!Part.is_structured())
          return;
        for (const auto &[Name, Child] : Part.items()) {
          const auto ChildPath =
              Part.is_array() ? Path / std::stoul(Name) : Path / Name;
          Found.push_back(ChildPath);
          Visit(Child, ChildPath);
        }
      };
  Visit(Value, Json::json_pointer());
  return Found;
}

constexpr size_t Depth = 100'000;
/// Takes the place of bytes that Json itself cannot hold.
const std::string Placeholder = "PLACEHOLDER";

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  const size_t At = Text.find(Old);
  return Text.replace(At, Old.size(), New);
}

const std::vector<Json> OddValues = {nullptr,
                                     true,
                                     -1,
                                     0.5,
                                     1e300,
                                     -1e300,
                                     UINT64_MAX,
                                     INT64_MIN,
                                     "",
                                     "***",
                                     Json::array(),
                                     Json::object(),
                                     Json{{1}},
                                     Json{{"a", 1}},
                                     std::string(5000, 'x'),
                                     std::string("a\0b", 3)};

/// Positions of identities, versions, sums and counts that may have any value.
const std::set<std::string> SixtyFourBitNumbers = {
    "versions/era",         "usage/window",
    "usage/counts/a",       "peer report/1/0/1",
    "peer report/1/0/4",    "peer report/1/0/5/0/2",
    "peer report/2/0/1",    "peer report/8",
    "crash causes/2/0/1",   "tenant shares/1/0/3/0/0",
    "store update/1",       "store update/2",
    "store update/4/0/0",   "store update/4/1/0",
    "store update/4/0/2/1", "store update/5",
    "store update/7",       "usage sums/1",
    "usage sums/2/0/0",     "usage sums/2/0/2/a"};
/// Negative times of a record count as 0.
const std::set<std::string> NumbersCutOffAtZero = {
    "versions/completeSinceMs", "versions/versions/0/takeUpMs",
    "versions/versions/0/untilMs"};

} // namespace

TEST_GROUP(ForeignMessages){
    static void checkError(const Decoder &Tested,
                           const std::optional<Error> &Reason){
        if (!Reason) return;
CHECK_TEXT(!Reason->Message.empty(), Tested.Name);
CHECK_TEXT(Reason->Message.size() < 300, Reason->Message.c_str());
}
static void isRefused(const Decoder &Tested, const std::string &Bytes) {
  const auto Reason = Tested.Decode(Bytes);
  CHECK_TEXT(Reason.has_value(), Tested.Name);
  checkError(Tested, Reason);
}
}
;

// Failure: a field of another type throws out of a decoder, and with nothing to
// catch it the process ends.
TEST(ForeignMessages, OddFieldsNeverThrow) {
  for (const Decoder &Tested : textDecoders()) {
    const Json Valid = Json::parse(Tested.Valid);
    CHECK_TEXT(!Tested.Decode(Tested.Valid), Tested.Name);
    for (const auto &Position : positions(Valid))
      for (const Json &Odd : OddValues) {
        Json Changed = Valid;
        Changed[Position] = Odd;
        checkError(Tested, Tested.Decode(Changed.dump()));
      }
  }
  for (const Decoder &Tested : datagramDecoders()) {
    const Json Valid = Json::from_cbor(Tested.Valid);
    CHECK_TEXT(!Tested.Decode(Tested.Valid), Tested.Name);
    for (const auto &Position : positions(Valid))
      for (const Json &Odd : OddValues) {
        Json Changed = Valid;
        Changed[Position] = Odd;
        std::string Bytes;
        Json::to_cbor(Changed, Bytes);
        checkError(Tested, Tested.Decode(Bytes));
      }
  }
}

// Failure: a number that nobody has sent counts: 1 for a fraction or a truth
// value, and the remainder for an integer that is negative or too large.
TEST(ForeignMessages, OddWholeNumbersAreRefused) {
  const auto Check = [](const Decoder &Tested, const Json &Valid,
                        const auto &Encode) {
    for (const auto &Position : positions(Valid))
      if (Valid[Position].is_number_integer())
        for (const Json &Odd : {Json(1.5), Json(true), Json(-1), Json(1e30),
                                Json(INT64_MIN), Json(UINT64_MAX)}) {
          Json Changed = Valid;
          Changed[Position] = Odd;
          const std::string Name = Tested.Name + Position.to_string();
          const bool IsTaken = !Tested.Decode(Encode(Changed));
          const bool MayBeTaken = Odd.is_number_unsigned()
                                      ? SixtyFourBitNumbers.contains(Name)
                                      : Odd.is_number_integer() &&
                                            NumbersCutOffAtZero.contains(Name);
          CHECK_TEXT(IsTaken == MayBeTaken, (Name + ": " + Odd.dump()).c_str());
        }
  };
  for (const Decoder &Tested : textDecoders())
    if (Tested.Name == std::string("versions") ||
        Tested.Name == std::string("usage") ||
        Tested.Name == std::string("cache list"))
      Check(Tested, Json::parse(Tested.Valid),
            [](const Json &Value) { return Value.dump(); });
  for (const Decoder &Tested : datagramDecoders())
    Check(Tested, Json::from_cbor(Tested.Valid), [](const Json &Value) {
      std::string Bytes;
      Json::to_cbor(Value, Bytes);
      return Bytes;
    });
}

// Failure: a message nested deep in any of its fields ends the process by a
// stack overflow.
TEST(ForeignMessages, DeepFieldsAreRefused) {
  const std::string Deep = std::string(Depth, '[') + std::string(Depth, ']');
  for (const Decoder &Tested : textDecoders()) {
    const Json Valid = Json::parse(Tested.Valid);
    for (const auto &Position : positions(Valid)) {
      Json Changed = Valid;
      Changed[Position] = Placeholder;
      const std::string Bytes =
          replaced(Changed.dump(), '"' + Placeholder + '"', Deep);
      // Of a page of rows, only the row is refused: see TestStore.cpp.
      if (Tested.Name == std::string("rows"))
        checkError(Tested, Tested.Decode(Bytes));
      else
        isRefused(Tested, Bytes);
    }
  }
  for (const Decoder &Tested : datagramDecoders()) {
    const Json Valid = Json::from_cbor(Tested.Valid);
    for (const auto &Position : positions(Valid))
      for (const char Head : {'\x81', '\x9f', '\x5f', '\x7f'}) {
        Json Changed = Valid;
        Changed[Position] = Placeholder;
        std::string Bytes;
        Json::to_cbor(Changed, Bytes);
        isRefused(Tested, replaced(Bytes, '\x6b' + Placeholder,
                                   std::string(Depth, Head)));
      }
  }
}

// Failure: bytes that are no JSON, among them texts that are not UTF-8 and that
// a log line cannot hold, throw out of a decoder.
TEST(ForeignMessages, MalformedBytesAreRefused) {
  for (const Decoder &Tested : textDecoders()) {
    const Json Valid = Json::parse(Tested.Valid);
    for (const char *Odd : {"1e999", "\"\xff\xfe\"", "\"\\ud800\"", "nan", "{"})
      for (const auto &Position : positions(Valid)) {
        Json Changed = Valid;
        Changed[Position] = Placeholder;
        const std::string Bytes =
            replaced(Changed.dump(), '"' + Placeholder + '"', Odd);
        if (Tested.Name == std::string("rows"))
          checkError(Tested, Tested.Decode(Bytes));
        else
          isRefused(Tested, Bytes);
      }
  }
  for (const Decoder &Tested : datagramDecoders())
    for (size_t Size = 0; Size < Tested.Valid.size(); ++Size)
      isRefused(Tested, Tested.Valid.substr(0, Size));
}

// Failure: the first of two members of one name counts for one decoder, and the
// second for another.
TEST(ForeignMessages, OfTwoMembersTheLastOneCounts) {
  const auto Server = decodeServer(
      "i", R"({"service":"a","address":"10.0.0.1:1","zone":"z","version":"v",
          "slots":[[8]],"state":"ready","coldRemainingMs":0,"sequence":4,
          "slots":6})");
  LONGS_EQUAL(6, Server.value().Slots);
}
