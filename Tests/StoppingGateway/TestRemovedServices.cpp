//===- TestRemovedServices.cpp - Services removed during a request --------===//
//
// A new configuration may remove a route or a whole service with its servers.
// Earlier requests use the configuration that they started with until they end,
// also while the gateway is stopping.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

/// Each sequence runs once without and once with a stop of the gateway.
TEST_GROUP(RemovedServices) {
  static constexpr bool WithStop = true;
  /// Deadline of streams that the stopping gateway still accepts.
  static constexpr auto FittingDeadline = "X-Deadline-Ms: 1500\r\n";
  std::unique_ptr<GatewayFixture> Fixture;
  /// Requests at servers that have not been answered.
  std::vector<Caller> PendingRequests;

  void setup() override {
    Fixture = std::make_unique<GatewayFixture>(4);
    Fixture->configure();
    CHECK(Fixture->waitUntilReady());
  }
  void teardown() override {
    PendingRequests.clear();
    Fixture.reset();
  }
  Listener::Behaviour holdRequests() {
    return [this](const proxy::Request &, const Caller &To) {
      PendingRequests.push_back(To);
    };
  }
  void waitForTargets(int Targets) {
    CHECK(Fixture->waitUntil([&] {
      return contains(Fixture->metrics(),
                      "figlift_gateway_targets " + std::to_string(Targets));
    }));
  }
  /// Activates a configuration without \p Service and stops the gateway if
  /// \p Stop is set.
  void removeService(const std::string &Service, bool Stop) {
    Fixture->configure(2, Service);
    CHECK(Fixture->waitUntil([&] {
      return contains(Fixture->metrics(),
                      "figlift_gateway_configuration_version 2");
    }));
    const std::string Path = Service == "plain" ? "/safe/x" : "/long/x";
    CHECK(contains(Fixture->request("POST", Path), "HTTP/1.1 404"));
    if (!Stop)
      return;
    Fixture->sendTermination();
    CHECK(Fixture->waitUntilReady(false));
  }

  void decodesAfterThePrefill(bool Stop) {
    Listener &PrefillEngine =
        Fixture->addServer("e1", "model", holdRequests(), "prefill");
    Listener &DecodeEngine = Fixture->addServer(
        "e2", "model", streamFor(Fixture->Loop, milliseconds(100)), "decode");
    waitForTargets(2);
    KeepAliveCaller Connection(*Fixture);
    Connection.send("POST", "/long/x", PromptHeaders + FittingDeadline);
    CHECK(Fixture->waitUntil([&] { return PendingRequests.size() == 1; }));
    removeService("model", Stop);
    completePrefill(PrefillEngine.Requests.at(0), PendingRequests.at(0));
    CHECK(Fixture->waitUntil(
        [&] { return isCompleteStream(Connection.received()); }));
    LONGS_EQUAL(1, DecodeEngine.Requests.size());
  }
  void retriesAfterAFailure(bool Stop) {
    Listener &One = Fixture->addServer("s1", "plain", holdRequests());
    Listener &Two = Fixture->addServer("s2", "plain", holdRequests());
    waitForTargets(2);
    KeepAliveCaller Connection(*Fixture);
    Connection.send("GET", "/safe/x");
    CHECK(Fixture->waitUntil([&] { return PendingRequests.size() == 1; }));
    One.setBehaviour(respondWith("one"));
    Two.setBehaviour(respondWith("one"));
    removeService("plain", Stop);
    PendingRequests.at(0)->abort();
    CHECK(Fixture->waitUntil(
        [&] { return contains(Connection.received(), "one"); }));
    LONGS_EQUAL(2, One.Requests.size() + Two.Requests.size());
  }
  void retriesAFailedPrefill(bool Stop) {
    Listener &One =
        Fixture->addServer("e1", "model", holdRequests(), "prefill");
    Listener &Two =
        Fixture->addServer("e2", "model", holdRequests(), "prefill");
    Fixture->addServer("e3", "model",
                       streamFor(Fixture->Loop, milliseconds(100)), "decode");
    waitForTargets(3);
    KeepAliveCaller Connection(*Fixture);
    Connection.send("POST", "/long/x", PromptHeaders + FittingDeadline);
    CHECK(Fixture->waitUntil([&] { return PendingRequests.size() == 1; }));
    One.setBehaviour(completePrefill);
    Two.setBehaviour(completePrefill);
    removeService("model", Stop);
    PendingRequests.at(0)->abort();
    CHECK(Fixture->waitUntil(
        [&] { return isCompleteStream(Connection.received()); }));
    CHECK(contains(Connection.received(), "HTTP/1.1 200"));
  }
  /// The first engine loses the connection; the second one continues the stream
  /// after the last event.
  void resumesAtAnotherEngine(bool Stop) {
    const auto StartStream = [this](const proxy::Request &Request,
                                    const Caller &To) {
      beginStream(Request, To);
      To->writeStream("id: 1\n\n");
      PendingRequests.push_back(To);
    };
    const auto ContinueStream = [](const proxy::Request &Request,
                                   const Caller &To) {
      beginStream(Request, To);
      To->writeStream("id: 2\n\n");
      To->endStream();
    };
    Listener &One = Fixture->addServer("e1", "model", StartStream, "decode");
    Listener &Two = Fixture->addServer("e2", "model", StartStream, "decode");
    waitForTargets(2);
    KeepAliveCaller Connection(*Fixture);
    Connection.send("POST", "/stream/x");
    CHECK(Fixture->waitUntil(
        [&] { return contains(Connection.received(), "id: 1\n"); }));
    One.setBehaviour(ContinueStream);
    Two.setBehaviour(ContinueStream);
    removeService("model", Stop);
    PendingRequests.at(0)->abort();
    CHECK(Fixture->waitUntil(
        [&] { return isCompleteStream(Connection.received()); }));
    CHECK(contains(Connection.received(), "id: 2\n"));
  }
  /// The engine of the stream is removed as well.
  void finishesAtARemovedEngine(bool Stop) {
    Listener &Engine = Fixture->addServer(
        "e1", "model",
        [this](const proxy::Request &Request, const Caller &To) {
          beginStream(Request, To);
          To->writeStream("id: 1\n\n");
          PendingRequests.push_back(To);
        },
        "decode");
    waitForTargets(1);
    KeepAliveCaller Connection(*Fixture);
    Connection.send("POST", "/long/x");
    CHECK(Fixture->waitUntil(
        [&] { return contains(Connection.received(), "id: 1\n"); }));
    removeService("model", Stop);
    Fixture->Store.remove("servers", "e1");
    waitForTargets(0);
    PendingRequests.at(0)->writeStream("id: 2\n\n");
    PendingRequests.at(0)->endStream();
    CHECK(Fixture->waitUntil(
        [&] { return isCompleteStream(Connection.received()); }));
    CHECK(contains(Connection.received(), "id: 2\n"));
    LONGS_EQUAL(1, Engine.Requests.size());
  }
  /// The prefill engine is removed as well.
  void respondsWhenThePrefillEngineIsRemoved(bool Stop) {
    Listener &PrefillEngine =
        Fixture->addServer("e1", "model", holdRequests(), "prefill");
    Fixture->addServer("e2", "model",
                       streamFor(Fixture->Loop, milliseconds(100)), "decode");
    waitForTargets(2);
    KeepAliveCaller Connection(*Fixture);
    Connection.send("POST", "/long/x", PromptHeaders + FittingDeadline);
    CHECK(Fixture->waitUntil([&] { return PendingRequests.size() == 1; }));
    removeService("model", Stop);
    Fixture->Store.remove("servers", "e1");
    waitForTargets(1);
    completePrefill(PrefillEngine.Requests.at(0), PendingRequests.at(0));
    CHECK(Fixture->waitUntil([&] {
      const std::string &Response = Connection.received();
      return isCompleteStream(Response) || isStoppingRejection(Response) ||
             contains(Response, "HTTP/1.1 503");
    }));
  }
};

// Failure: the process crashes, or a request gets no response, when a service
// is removed from the configuration.
// Sequence: during a prefill, a configuration without the route and the service
// becomes active. The decode is planned after that.
// Cause: the service is looked up in the active configuration.
TEST(RemovedServices, DecodesAfterThePrefill) {
  decodesAfterThePrefill(!WithStop);
}
TEST(RemovedServices, DecodesAfterThePrefillWhileStopping) {
  decodesAfterThePrefill(WithStop);
}

// The same when a request fails and is retried at another server.
TEST(RemovedServices, RetriesAfterAFailure) { retriesAfterAFailure(!WithStop); }
TEST(RemovedServices, RetriesAfterAFailureWhileStopping) {
  retriesAfterAFailure(WithStop);
}

// The same when the prefill fails.
TEST(RemovedServices, RetriesAFailedPrefill) {
  retriesAFailedPrefill(!WithStop);
}
TEST(RemovedServices, RetriesAFailedPrefillWhileStopping) {
  retriesAFailedPrefill(WithStop);
}

// The same when a started stream is resumed at another engine.
TEST(RemovedServices, ResumesAtAnotherEngine) {
  resumesAtAnotherEngine(!WithStop);
}
TEST(RemovedServices, ResumesAtAnotherEngineWhileStopping) {
  resumesAtAnotherEngine(WithStop);
}

// Failure: a stream is interrupted when its engine is removed.
// Sequence: a stream has started. Its service and then its engine are removed,
// and the engine finishes its work as required.
// Cause: connections to removed servers are closed immediately.
TEST(RemovedServices, FinishesAtARemovedEngine) {
  finishesAtARemovedEngine(!WithStop);
}
TEST(RemovedServices, FinishesAtARemovedEngineWhileStopping) {
  finishesAtARemovedEngine(WithStop);
}

// Failure: the process crashes, or a request gets no response.
// Sequence: the prefill engine is removed before the prefill has completed.
// Cause: the engine that holds the result of a prefill is assumed to be listed.
TEST(RemovedServices, RespondsWhenThePrefillEngineIsRemoved) {
  respondsWhenThePrefillEngineIsRemoved(!WithStop);
}
TEST(RemovedServices, RespondsWhenThePrefillEngineIsRemovedWhileStopping) {
  respondsWhenThePrefillEngineIsRemoved(WithStop);
}
