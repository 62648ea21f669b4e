//===- TestMembership.cpp - Tests of Membership ---------------------------===//
//
// Tests each source of information about a target, alone and combined.
//
//===----------------------------------------------------------------------===//

#include "LibMembership/Membership.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::membership;
using platform::Vm;
using platform::VmKind;
using platform::VmState;

namespace {

Vm target(const std::string &Id, VmState State = VmState::Live,
          uint16_t Port = 1) {
  return {Id,       VmKind::Target, "lm-desk",
          "hall-a", "blue-ridge",   Endpoint{"127.0.0.1", Port},
          State};
}

Vm entry(const std::string &Id) {
  return {Id,           VmKind::Entry, "",
          "hall-a",     "blue-ridge",  Endpoint{"127.0.0.2", 1},
          VmState::Live};
}

TargetReport serving() {
  TargetReport Report;
  Report.State = AgentState::Serving;
  Report.Accepting = true;
  return Report;
}

template <typename T> size_t count(const std::vector<Action> &Actions) {
  return static_cast<size_t>(
      std::count_if(Actions.begin(), Actions.end(), [](const Action &Action) {
        return std::holds_alternative<T>(Action);
      }));
}

} // namespace

TEST_GROUP(Membership) {
  Membership Machine{{.EntryId = "e1",
                      .Zone = "hall-a",
                      .Region = "blue-ridge",
                      .TargetsPerBackEnd = 2}};

  std::vector<Action> step(Event Event) {
    return Machine.step(Event, BootTime{});
  }
  bool accepts(const std::string &Id) {
    return Machine.targets().at(Id).acceptsWork();
  }
  void serve(const std::string &Id) {
    step(VmListRead{{target(Id)}});
    step(ConnectionChanged{Id, true});
    step(ReportReceived{Id, serving()});
  }
};

TEST(Membership, ATargetServesOnceItIsListedConnectedAndReportsServing) {
  CHECK_EQUAL(1u, count<Connect>(step(VmListRead{{target("t1")}})));
  CHECK_FALSE(accepts("t1"));
  step(ConnectionChanged{"t1", true});
  CHECK_FALSE(accepts("t1"));
  CHECK_EQUAL(1u, count<RoutingChanged>(step(ReportReceived{"t1", serving()})));
  CHECK_TRUE(accepts("t1"));
}

TEST(Membership, AnySingleSourceStopsWorkForATarget) {
  serve("t1");
  step(DesiredStatesRead{{{"t1", record::TargetIntent::Drain}}});
  CHECK_FALSE(accepts("t1"));
  step(DesiredStatesRead{});
  CHECK_TRUE(accepts("t1"));

  TargetReport Draining = serving();
  Draining.State = AgentState::Draining;
  step(ReportReceived{"t1", Draining});
  CHECK_FALSE(accepts("t1"));
  step(ReportReceived{"t1", serving()});

  const auto Actions = step(VmListRead{{target("t1", VmState::Leaving)}});
  CHECK_FALSE(accepts("t1"));
  CHECK_EQUAL(1u, count<NotifyLeaving>(Actions));
}

TEST(Membership, ADesiredStateMayPrecedeItsTarget) {
  step(DesiredStatesRead{{{"t1", record::TargetIntent::Retire}}});
  serve("t1");
  CHECK_FALSE(accepts("t1"));
}

TEST(Membership, AnEmptyListIsIgnored) {
  // Guards against a second of refused requests while all targets are alive:
  // the platform replies once with an empty list, and the entry closes and
  // reopens every connection.
  serve("t1");
  CHECK_EQUAL(0u, step(VmListRead{}).size());
  CHECK_TRUE(accepts("t1"));
}

TEST(Membership, ATargetThatLeftTheListIsDisconnectedAndRemoved) {
  serve("t1");
  const auto Actions = step(VmListRead{{entry("e1")}});
  CHECK_EQUAL(1u, count<Disconnect>(Actions));
  CHECK_EQUAL(0u, Machine.targets().size());
}

TEST(Membership, AReportOfAnEarlierConnectionIsDropped) {
  // Guards against work for an agent that is still recovering: the agent
  // restarts, and the entry reconnects and routes by the last report of the
  // predecessor, which must not outlive its connection.
  serve("t1");
  step(ConnectionChanged{"t1", false});
  step(ConnectionChanged{"t1", true});
  CHECK_FALSE(accepts("t1"));
}

TEST(Membership, AVmReplacedUnderItsIdIsReconnected) {
  serve("t1");
  const auto Actions = step(VmListRead{{target("t1", VmState::Live, 2)}});
  CHECK_EQUAL(1u, count<Disconnect>(Actions));
  CHECK_EQUAL(1u, count<Connect>(Actions));
}

TEST(Membership, TheSubsetIsBoundedForEachBackEnd) {
  VmListRead List;
  for (const char *Id : {"e1", "e2", "e3", "e4", "e5", "e6"})
    List.Vms.push_back(entry(Id));
  for (const char *Id : {"t1", "t2", "t3", "t4"})
    List.Vms.push_back(target(Id));
  const size_t Connected = count<Connect>(step(List));
  CHECK_TRUE(Connected >= 2 && Connected < 4);
  CHECK_EQUAL(4u, Machine.targets().size());
}

TEST(Membership, PeersAreTheOtherLiveEntriesOfTheRegion) {
  Vm Elsewhere = entry("e3");
  Elsewhere.Region = "porto";
  const auto Actions = step(VmListRead{{entry("e1"), entry("e2"), Elsewhere}});
  CHECK_EQUAL(1u, count<PeersChanged>(Actions));
  CHECK_EQUAL(1u, Machine.peers().size());
  STRCMP_EQUAL("e2", Machine.peers().front().Id.c_str());
  CHECK_EQUAL(0u, count<PeersChanged>(
                      step(VmListRead{{entry("e1"), entry("e2"), Elsewhere}})));
}

TEST(Membership, TheNumberOfRequestsAloneChangesNoRouting) {
  serve("t1");
  TargetReport Busier = serving();
  Busier.RequestsInFlight = 7;
  CHECK_EQUAL(0u, step(ReportReceived{"t1", Busier}).size());
  CHECK_EQUAL(7u, Machine.targets().at("t1").Report->RequestsInFlight);
}
