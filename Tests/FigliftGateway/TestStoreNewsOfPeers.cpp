//===- TestStoreNewsOfPeers.cpp - A gateway and what a peer tells it ------===//
//
// The peer is a socket of the test that seals datagrams with the fleet's
// secret, or with another one.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include "LibDispatch/DatagramSeal.h"
#include "LibDispatch/PeerReport.h"
#include "LibDispatch/StoreUpdate.h"

#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <array>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using boost::asio::ip::udp;
using std::chrono::milliseconds;

TEST_GROUP(StoreNewsOfPeers) {
  const std::string Secret = dispatch::DatagramSeal::newSecret();
  dispatch::DatagramSeal Seal =
      dispatch::DatagramSeal::fromSecret(Secret).value();
  GatewayScene Scene;
  udp::socket Peer{Scene.Loop};

  void setup() override {
    Scene.Store.put("figlift-gateways", "#secret", Secret);
    Peer.open(udp::v4());
    Peer.bind({boost::asio::ip::make_address_v4("127.0.0.1"), 0});
    Scene.server("e1", "plain", answersWith("one"));
    Scene.configure();
    CHECK(Scene.becomesReady());
  }
  void send(char Kind, const std::string &Body) {
    const Endpoint To = Scene.Settings.Listen.Peers;
    Peer.send_to(boost::asio::buffer(Seal.seal(Kind, Body)),
                 {boost::asio::ip::make_address_v4(To.Address), To.Port});
  }
  /// News that the gateway has sent to the peer.
  std::vector<dispatch::StoreUpdate> heard() {
    std::vector<dispatch::StoreUpdate> All;
    std::array<char, 65536> Bytes;
    boost::system::error_code Code;
    while (const size_t Count =
               Peer.receive(boost::asio::buffer(Bytes), 0, Code))
      if (const auto Opened = Seal.open({Bytes.data(), Count});
          Opened && Opened->Kind == 'N')
        All.push_back(dispatch::decodeStoreUpdate(Opened->Body).value());
    return All;
  }
  /// The peer's name comes before the gateway's, so reading is its turn.
  void tell(std::vector<dispatch::ServerChange> Changes,
            uint64_t Configuration = 0) {
    dispatch::PeerReport Report;
    Report.Sender = "a";
    send('R', encodePeerReport(Report));
    // As if the store had written them.
    for (dispatch::ServerChange &Each : Changes) {
      Scene.Store.put("elsewhere", "row", "");
      Each.Version = {Scene.Store.era(), Scene.Store.version()};
    }
    send('N', dispatch::encodeStoreUpdate(
                  {"a",
                   {{Scene.Store.era(), 0},
                    {Scene.Store.era(), Scene.Store.version()},
                    milliseconds(0),
                    Changes},
                   {Configuration, milliseconds(0)}}));
  }
  static dispatch::ServerChange came(const std::string &Id) {
    dispatch::Target Which;
    Which.Id = Id;
    Which.Service = "plain";
    Which.Address = {"127.0.0.1", 9};
    Which.Zone = "z";
    return {{}, Id, Which};
  }
  bool hasTargets(int Count) {
    return has(Scene.metrics(),
               "figlift_gateway_targets " + std::to_string(Count));
  }
  double metric(const std::string &Name) {
    const std::string Text = Scene.metrics();
    const size_t At = Text.find("\n" + Name + " ");
    return At == std::string::npos
               ? -1
               : std::stod(Text.substr(At + Name.size() + 2));
  }
  /// Whether the gateway of \p Where comes to count the peer as live.
  bool isHeard(GatewayScene & Where) {
    const Endpoint To = Where.Settings.Listen.Peers;
    dispatch::PeerReport Report;
    Report.Sender = "a";
    return Where.until([&] {
      Peer.send_to(
          boost::asio::buffer(Seal.seal('R', encodePeerReport(Report))),
          {boost::asio::ip::make_address_v4(To.Address), To.Port});
      return has(Where.metrics(), "figlift_gateway_live_gateways 2");
    });
  }
  /// Lets the peer tell, each tenth of a second, what the store would say.
  void tellFor(milliseconds Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End) {
      tell({}, 1);
      Scene.Loop.run_for(milliseconds(100));
    }
  }
};

TEST(StoreNewsOfPeers, NameServersAndTakeThemAway) {
  CHECK(hasTargets(1));
  tell({came("e2")});
  CHECK(Scene.until([&] { return hasTargets(2); }));
  tell({{{}, "e2", {}}});
  CHECK(Scene.until([&] { return hasTargets(1); }));
}

// Symptom: requests go to an address that is no server's.
// Sequence: somebody who does not know the fleet's secret names a server.
// Cause: datagrams were believed, whoever sent them.
TEST(StoreNewsOfPeers, AreDroppedFromAnyoneElse) {
  Seal = dispatch::DatagramSeal::fromSecret(dispatch::DatagramSeal::newSecret())
             .value();
  tell({came("e2")});
  CHECK(Scene.until(
      [&] { return metric("figlift_gateway_datagrams_refused_total") >= 2; }));
  CHECK(hasTargets(1));
}

// Grounds: each call is paid for, and a peer's knowledge is as good.
TEST(StoreNewsOfPeers, SpareTheStore) {
  tellFor(milliseconds(500));
  const double Before = metric("figlift_gateway_store_calls_total");
  tellFor(milliseconds(2500));
  // The list of peers may be read meanwhile.
  CHECK(metric("figlift_gateway_store_calls_total") - Before <= 4);
}

// Symptom: a leaving server gets requests, an old configuration stays in force.
// Sequence: the peer that told of the store ends, or is cut off.
// Cause: everybody waited for its news.
TEST(StoreNewsOfPeers, AreNotWaitedFor) {
  tellFor(milliseconds(500));
  Scene.server("e2", "plain", answersWith("two"));
  const auto Silent = std::chrono::steady_clock::now();
  CHECK(Scene.until([&] { return hasTargets(2); }));
  // The oldest that knowledge may be, and some time for a busy machine.
  CHECK(std::chrono::steady_clock::now() - Silent < milliseconds(2000));
}

// Symptom: engines get more repeats than the fleet's budget allows, in the
// first second of a fleet.
// Sequence: gateways start together; one makes the secret while the others read
// the list, and they look for it a second later.
// Cause: until then each one heard nobody and took the whole budget.
TEST(StoreNewsOfPeers, AreHeardWithinHalfASecondOfAStart) {
  GatewayScene Late;
  // It is not the first by name, so it waits for the other's secret.
  Late.Store.put("figlift-gateways", "a", "127.0.0.1:9");
  Late.Loop.run_for(milliseconds(30));
  Late.Store.put("figlift-gateways", "#secret", Secret);
  const auto Since = std::chrono::steady_clock::now();
  CHECK(isHeard(Late));
  CHECK(std::chrono::steady_clock::now() - Since < milliseconds(500));
}

// Symptom: a gateway shares nobody's load for a minute after an outage.
// Sequence: it starts while the store is away; the list of gateways, with the
// secret, is read some times in vain, and then seldom.
// Cause: reads that failed counted as the first ones after a start.
TEST(StoreNewsOfPeers, AreHeardSoonThoughTheStoreWasAwayAtTheStart) {
  GatewayScene Late;
  Late.Store.Away = true;
  Late.Loop.run_for(milliseconds(4200));
  Late.Store.put("figlift-gateways", "#secret", Secret);
  Late.Store.Away = false;
  CHECK(isHeard(Late));
}

// Failure: peers learn of a change only by their own reads, up to 1.25 s later,
// as one that knows the version before has just told of it.
TEST(StoreNewsOfPeers, TellANewerConfigurationAtOnce) {
  Peer.non_blocking(true);
  dispatch::PeerReport Report;
  Report.Sender = "z";
  const dispatch::StoreVersion At{Scene.Store.era(), Scene.Store.version()};
  std::optional<std::chrono::steady_clock::time_point> Changed;
  const auto Age = [&] {
    return Changed ? std::chrono::ceil<milliseconds>(
                         std::chrono::steady_clock::now() - *Changed)
                   : milliseconds(0);
  };
  // The peer goes on telling of the version before, as of before the change.
  bool Found = false;
  const auto TellsOfTwo = [&] {
    send('R', encodePeerReport(Report));
    send('N',
         dispatch::encodeStoreUpdate({"z", {At, At, Age(), {}}, {1, Age()}}));
    Scene.Loop.run_for(milliseconds(20));
    for (const dispatch::StoreUpdate &Each : heard())
      Found = Found || Each.Configuration.Version == 2;
    return Found;
  };
  for (int Each = 0; Each < 20; ++Each)
    CHECK(!TellsOfTwo());
  Scene.configure(2);
  Changed = std::chrono::steady_clock::now();
  CHECK(Scene.until(TellsOfTwo));
  CHECK(Age() < milliseconds(700));
}

// Symptom: requests go on to a server that has left, until the next whole read.
// Sequence: a gateway that the store had turned away reads the list again; an
// entry is missing, and has some time to come back there. It tells its peers,
// who reach the store, that nothing has changed, before they read the removal.
// Cause: a list without an event was taken for one that says nothing new.
TEST(StoreNewsOfPeers, DoNotCoverAnEntryThatIsMissing) {
  Peer.non_blocking(true);
  dispatch::PeerReport Report;
  Report.Sender = "z";
  Scene.server("e2", "plain", answersWith("two"));
  CHECK(Scene.until([&] { return hasTargets(2); }));
  Scene.Store.Away = true;
  Scene.Loop.run_for(milliseconds(900));
  Scene.Store.remove("servers", "e2");
  const dispatch::StoreVersion Removal{Scene.Store.era(),
                                       Scene.Store.version()};
  Scene.Store.Away = false;
  bool Tells = false;
  bool Covers = false;
  CHECK(Scene.until([&] {
    send('R', encodePeerReport(Report));
    Scene.Loop.run_for(milliseconds(20));
    for (const dispatch::StoreUpdate &Each : heard())
      if (Each.Servers.UpTo >= Removal) {
        Tells = true;
        const bool TellsRemoval = std::any_of(
            Each.Servers.Changes.begin(), Each.Servers.Changes.end(),
            [](const dispatch::ServerChange &Change) {
              return Change.Id == "e2" && !Change.Entry;
            });
        Covers = Covers || (Each.Servers.After < Removal && !TellsRemoval);
      }
    return Tells;
  }));
  CHECK(!Covers);
}
