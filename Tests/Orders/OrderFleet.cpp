//===- OrderFleet.cpp - Engines under orders ------------------------------===//
//
// See OrderFleet.h.
//
//===----------------------------------------------------------------------===//

#include "OrderFleet.h"

#include "Support/WaitUntil.h"

#include <algorithm>
#include <sstream>

using namespace figlift::test;
using nlohmann::json;

namespace {

FleetOptions describe(const OrderFleetOptions &Wanted) {
  FleetOptions Options;
  for (const std::string &Id : OrderFleet::engines()) {
    TargetOptions Engine;
    Engine.Id = Id;
    Engine.BackEnd = "lm-desk";
    const bool Honours = Options.Targets.empty();
    Engine.StandInFlags = {"--order-duration", Wanted.OrderDuration,
                           Honours ? "--honour-epoch=true"
                                   : "--honour-epoch=false",
                           "--refuse-busy=false"};
    Options.Targets.push_back(Engine);
  }
  Options.Records = deskRecord("1");
  Options.EntrySettings = Options.AgentSettings = Wanted.Settings;
  return Options;
}

} // namespace

std::string figlift::test::deskRecord(const std::string &Version,
                                      const std::string &Roles) {
  return R"({"schemaVersion": 1, "kind": "backEnd", "name": "lm-desk",
    "spec": {"type": "model", "roles": )" +
         Roles + R"(, "models": [{"name": "desk", "version": ")" + Version +
         "\"}]}}";
}

OrderFleet::OrderFleet(const OrderFleetOptions &Options)
    : Fleet(describe(Options)) {}

const std::vector<std::string> &OrderFleet::engines() {
  static const std::vector<std::string> Ids{"lm-desk-1", "lm-desk-2"};
  return Ids;
}

bool OrderFleet::submitVersion(const std::string &Version) {
  return submit(deskRecord(Version));
}

bool OrderFleet::submit(const std::string &Record) {
  return control({"apply", "-f", writeFile("record.json", Record)}).first == 0;
}

json OrderFleet::row(const std::string &Key) const {
  const json Found = getJson(platform(), "/control/rows?prefix=" + Key);
  if (!Found.is_object() || Found.at("rows").empty())
    return nullptr;
  return json::parse(Found.at("rows").at(0).at("value").get<std::string>(),
                     nullptr, /*allow_exceptions=*/false);
}

std::string OrderFleet::holder() const {
  const json Lease = lease();
  if (!Lease.is_object())
    return {};
  const std::string Name = Lease.value("holder", "");
  return Name.substr(0, Name.find('/'));
}

std::string OrderFleet::otherThan(const std::string &Entry) const {
  return Entry == "entry-1" ? "entry-2" : "entry-1";
}

json OrderFleet::engine(const std::string &Id) const {
  const json State = getJson(target(Id), "/v1/state");
  return State.is_object() ? State : json::object();
}

void OrderFleet::setEngine(const std::string &Id, const json &Settings) const {
  call(target(Id), "POST", "/control/settings", Settings.dump());
}

void OrderFleet::crashEngine(const std::string &Id,
                             const std::string &When) const {
  call(target(Id), "POST", "/control/crash",
       json{{"when", When}, {"restart_after", "500ms"}}.dump());
}

bool OrderFleet::settledAt(const std::string &Version) const {
  return std::ranges::all_of(engines(), [&](const std::string &Id) {
    const json Wanted = json::array({{{"name", "desk"},
                                      {"version", Version},
                                      {"adapters", json::array()}}});
    const json Status = getJson(admin(Id), "/status");
    const json Row = row("order/" + Id);
    const bool Open = Row.is_object() && Row.value("state", "") == "intended";
    return engine(Id).value("models", json()) == Wanted && Status.is_object() &&
           Status.value("accepting", false) &&
           Status.value("orderId", "?").empty() && !Open;
  });
}

bool OrderFleet::waitUntilSettled(const std::string &Version) const {
  return waitUntil(Patience * 2, [&] { return settledAt(Version); });
}

void OrderFleet::loseAnswersToCommits(int Count) {
  const json Body{{"mode", "effect-without-answer"},
                  {"scope", "/v1/table/commit"},
                  {"count", Count}};
  call(platform(), "POST", "/control/fault", Body.dump());
}

std::vector<json> OrderFleet::booked(const std::string &Engine,
                                     const std::string &OrderId) const {
  std::vector<json> Found;
  const json Book = book(Engine);
  if (Book.is_object())
    std::ranges::copy_if(
        Book.at("orders"), std::back_inserter(Found),
        [&](const json &Each) { return Each.at("order_id") == OrderId; });
  return Found;
}

bool OrderFleet::took(const std::string &Engine,
                      const std::string &OrderId) const {
  return std::ranges::any_of(booked(Engine, OrderId), [](const json &Each) {
    return Each.at("accepted").get<bool>();
  });
}

std::string OrderFleet::conflicts() const {
  std::string Found;
  for (const std::string &Id : engines()) {
    const json Book = book(Id);
    if (!Book.is_object())
      return "no book of " + Id;
    for (const json &Each : Book.at("orders"))
      if (Each.at("conflicting").get<bool>())
        Found += Id + ": " + Each.dump() + "\n";
  }
  return Found;
}

std::vector<json> OrderFleet::logged(const std::string &Process,
                                     const std::string &Event) {
  std::vector<json> Found;
  std::istringstream Lines(process(Process).output());
  for (std::string Line; std::getline(Lines, Line);) {
    json Read = json::parse(Line, nullptr, /*allow_exceptions=*/false);
    if (Read.is_object() && Read.value("event", "") == Event)
      Found.push_back(std::move(Read));
  }
  return Found;
}

std::vector<json> OrderFleet::events(const std::string &Target,
                                     const std::string &Kind) const {
  std::vector<json> Found;
  const json Line = getJson(admin(Target), "/timeline");
  if (Line.is_object())
    std::ranges::copy_if(
        Line.at("events"), std::back_inserter(Found),
        [&](const json &Each) { return Each.value("kind", "") == Kind; });
  return Found;
}

std::string OrderFleet::report() const {
  std::string Text = "lease " + lease().dump() + "\n";
  for (const std::string &Id : engines())
    Text += Id + ": row " + row("order/" + Id).dump() + "\n  engine " +
            engine(Id).dump() + "\n  agent " +
            getJson(admin(Id), "/status").dump() + "\n  orders " +
            book(Id).value("orders", json()).dump() + "\n";
  return Text + logs();
}
