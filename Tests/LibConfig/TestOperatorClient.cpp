//===- TestOperatorClient.cpp - Operators' writes over several entries ----===//
//
// Scripted entries that lose responses or reject writes, and the evaluation of
// a rollout's status.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/OperatorClient.h"
#include "LibConfig/Rollout.h"
#include "LibPlatform/RawServer.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::config;
using figlift::test::RawServer;
using figlift::test::Step;
using namespace std::chrono_literals;

namespace {

constexpr auto Responds = Step::Action::Respond;
const Step Committed{Responds, 200, R"({"revision":4})"};
const Step StoreDown{Responds, 503, R"({"code":601,"detail":"down"})"};
const Step Unknown{Responds, 504, R"({"code":603,"detail":"lost"})"};
const Step Conflict{Responds, 409, R"({"code":402,"detail":"version 3"})"};
const Step Invalid{Responds, 422,
                   R"({"code":401,"detail":"bad","field":"spec"})"};
const Step Lost{Step::Action::CloseConnection};
const Step Silent{Step::Action::NoResponse};

Result<std::string> writeThrough(std::vector<uint16_t> Ports) {
  OperatorClientOptions Options;
  for (uint16_t Port : Ports)
    Options.Entries.push_back({"127.0.0.1", Port});
  Options.Timeout = 300ms;
  Options.Rounds = 1;
  return OperatorClient(Options).write(platform::HttpMethod::Post, "/x", "{}");
}

EntryResponse status(const std::string &Body) {
  return {Endpoint{"127.0.0.1", 1}, true, Body};
}

} // namespace

TEST_GROUP(OperatorClient){};

TEST(OperatorClient, ReportsTheOutcomeOfEveryPairOfResponses) {
  // Guards against reporting a change as rejected although it is in force: the
  // first entry commits and its response is lost, the second one rejects the
  // change, and the last response must not be used as the outcome.
  struct Case {
    Step First, Second;
    ResultCode Expected;
  };
  const Case Cases[] = {
      {Committed, Silent, ResultCode::Success},
      {Lost, Committed, ResultCode::Success},
      {Silent, Committed, ResultCode::Success},
      {StoreDown, Committed, ResultCode::Success},
      {Unknown, Committed, ResultCode::Success},
      {Conflict, Silent, ResultCode::RecordVersionConflict},
      {Invalid, Silent, ResultCode::RecordInvalid},
      {StoreDown, StoreDown, ResultCode::StoreUnavailable},
      {StoreDown, Conflict, ResultCode::RecordVersionConflict},
      {Lost, Conflict, ResultCode::StoreOutcomeUnknown},
      {Lost, StoreDown, ResultCode::StoreOutcomeUnknown},
      {Unknown, Invalid, ResultCode::StoreOutcomeUnknown},
      {Silent, Lost, ResultCode::StoreOutcomeUnknown},
  };
  for (const auto &[First, Second, Expected] : Cases) {
    RawServer FirstEntry({First}), SecondEntry({Second});
    auto Response = writeThrough({FirstEntry.port(), SecondEntry.port()});
    CHECK_EQUAL(static_cast<int>(Expected),
                Response ? 0 : static_cast<int>(Response.error().Code));
  }
}

TEST(OperatorClient, ReportsNoEffectIfNoEntryListens) {
  uint16_t Free = RawServer({}).port();
  CHECK_TRUE(writeThrough({Free}).error().Code == ResultCode::PeerUnreachable);
  RawServer Listening({Committed});
  CHECK_TRUE(writeThrough({Free, Listening.port()}).has_value());
}

TEST_GROUP(Rollout){};

TEST(Rollout, ListsLaggingProcessesAndCombinesReportsOfAllEntries) {
  auto First = status(R"({"entry":"e1","revision":5,"serving":true,"targets":[
    {"id":"t1","state":"serving","revisionInForce":5},
    {"id":"t2","state":"unreachable","revisionInForce":0},
    {"id":"t3","state":"gone","revisionInForce":2}],"entries":[
    {"id":"e2","state":"serving","revisionInForce":4}]})");
  auto Second = status(R"({"entry":"e2","revision":5,"serving":true,"targets":[
    {"id":"t1","state":"unreachable","revisionInForce":0},
    {"id":"t2","state":"serving","revisionInForce":4}],"entries":[]})");
  auto Status = rolloutStatus({First, Second}, 5);
  CHECK_EQUAL(3u, Status.InForce);
  CHECK_EQUAL(1u, Status.Lagging.size());
  STRCMP_EQUAL("target t2: revision 4, serving", Status.Lagging[0].c_str());
  CHECK_TRUE(rolloutStatus({First, Second}, 4).complete());

  EntryResponse Unreachable{Endpoint{"127.0.0.1", 2}, true,
                            failure(ResultCode::PeerUnreachable, "timeout")};
  CHECK_FALSE(rolloutStatus({First, Second, Unreachable}, 4).complete());
  Unreachable.Listening = false;
  CHECK_TRUE(rolloutStatus({First, Second, Unreachable}, 4).complete());
  CHECK_FALSE(rolloutStatus({Unreachable}, 4).complete());
}

TEST(Rollout, DetectsADrainedTarget) {
  auto Status = [](const std::string &State) {
    return status(R"({"entry":"e1","targets":[{"id":"t1","state":")" + State +
                  R"("}]})");
  };
  CHECK_FALSE(isDrained({Status("draining")}, "t1"));
  CHECK_TRUE(isDrained({Status("drained")}, "t1"));
  CHECK_TRUE(isDrained({Status("draining")}, "t2"));
  CHECK_FALSE(isDrained({}, "t1"));
}
