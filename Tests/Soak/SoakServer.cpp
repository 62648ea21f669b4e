//===- SoakServer.cpp - A server that keeps a book ------------------------===//
//
// See SoakServer.h.
//
//===----------------------------------------------------------------------===//

#include "SoakServer.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace figlift::soak {

using proxy::Request;
using proxy::ResponseHead;
using std::chrono::milliseconds;
using testing::Caller;
using Json = nlohmann::json;

namespace {

constexpr milliseconds LateBy{1000};
constexpr milliseconds StageChangeTime{300};
constexpr milliseconds ShortestGap{2};
constexpr double LimitPerSecond = 4;

std::string field(const Request &Of, std::string_view Name) {
  return std::string(Of.Head.Headers.find(Name).value_or(""));
}

ResponseHead headFor(const std::string &AttemptId, unsigned Status) {
  ResponseHead Head;
  Head.Status = Status;
  Head.Headers.add("X-Attempt-Id", AttemptId);
  return Head;
}

ResponseHead signedHead(const std::string &AttemptId, unsigned Status) {
  ResponseHead Head = headFor(AttemptId, Status);
  Head.Headers.add("X-Response-Signature", "soak");
  return Head;
}

void turnAway(const Request &What, const Caller &To, unsigned Status) {
  ResponseHead Head = headFor(field(What, "X-Attempt-Id"), Status);
  Head.Headers.add("X-Not-Executed", "1");
  To->respond(Head, "");
}

} // namespace

SoakServer::SoakServer(boost::asio::io_context &Loop, PromiseBook &Book,
                       uint64_t Seed, std::string Service, std::string Stage)
    : m_Loop(Loop), m_Book(Book), m_Random(Seed), m_Service(std::move(Service)),
      m_Stage(std::move(Stage)),
      m_Listener(Loop, [this](const Request &What, const Caller &From) {
        m_Listener.Requests.clear();
        serve(What, From);
      }) {}

milliseconds SoakServer::draw(unsigned From, unsigned To) {
  return milliseconds(
      std::uniform_int_distribution<unsigned>(From, To)(m_Random));
}

void SoakServer::after(milliseconds Time, std::function<void()> Then) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(m_Loop);
  Timer->expires_after(Time);
  Timer->async_wait([Timer, Then = std::move(Then)](const auto &) { Then(); });
}

void SoakServer::note(const Request &What, bool ReadsPrompt, bool TurnedAway) {
  m_Book.arrived(
      {field(What, "X-Attempt-Id"), m_Id, m_Service, ReadsPrompt, TurnedAway},
      BootClock::now());
}

ResponseHead SoakServer::successHead(const std::string &AttemptId) {
  ResponseHead Head = signedHead(AttemptId, 200);
  if (m_Manner != Manner::Limited)
    return Head;
  Head.Headers.add("Server-Limit", fmt::format("{:.1f}", LimitPerSecond));
  m_Book.limitNamed(m_Id, LimitPerSecond, AttemptId, BootClock::now());
  return Head;
}

/// What runs here breaks off with it.
void SoakServer::crash(const Request &Under) {
  if (std::exchange(m_Dark, true))
    return;
  m_Book.crashed(field(Under, "X-Attempt-Id"), BootClock::now());
  m_Book.disturbed(PromiseBook::Servers, BootClock::now());
  m_Listener.abortConnections();
  Crashed();
}

void SoakServer::serve(const Request &What, const Caller &From) {
  // The proxy in front takes connections all the same.
  if (m_Dark)
    return From->abort();
  const std::string &Target = What.Head.Target;
  if (const std::string Expected = field(What, "X-Expect-Instance");
      !Expected.empty() && Expected != m_Id) {
    if (!field(What, "X-Attempt-Id").empty())
      note(What, field(What, "X-Stage") == "prefill", true);
    return turnAway(What, From, 421);
  }
  ResponseHead Fine;
  Fine.Status = 200;
  if (Target == "/v1/report")
    return From->respond(
        Fine, Json{{"stage", m_Stage}, {"busy", false}, {"sequence", m_Orders}}
                  .dump());
  if (Target == "/v1/order")
    return takeOrder(What, From);
  if (Target == "/v1/kv-list")
    return From->respond(Fine, R"({"epoch":"a","next":0,"held":[]})");
  if (Target.starts_with("/v1/kv-handle/"))
    return From->respond(Fine, "");
  const bool Reads = field(What, "X-Stage") == "prefill";
  // A stage that does not fit is a refusal, too.
  if (m_Manner == Manner::Full || (Reads && m_Stage != "prefill")) {
    note(What, Reads, true);
    return turnAway(What, From, 503);
  }
  note(What, Reads, false);
  if (m_Manner == Manner::Silent)
    return;
  const milliseconds Time =
      m_Manner == Manner::Late ? LateBy : draw(2, Reads ? 8 : 15);
  after(Time, [this, What, From, Reads] {
    return Reads ? readPrompt(What, From) : run(What, From);
  });
}

void SoakServer::readPrompt(const Request &What, const Caller &From) {
  if (m_Manner == Manner::BreaksOff)
    return From->abort();
  const std::string AttemptId = field(What, "X-Attempt-Id");
  From->respond(
      headFor(AttemptId, 200),
      Json{{"kvHandle", "h" + AttemptId}, {"tokens", 1}, {"version", 1}}
          .dump());
}

void SoakServer::run(const Request &What, const Caller &From) {
  if (What.Head.Target.find(CrashingPath) != std::string::npos)
    return crash(What);
  const std::string AttemptId = field(What, "X-Attempt-Id");
  if (const std::string Source = field(What, "X-Kv-Source");
      !Source.empty() && !Source.ends_with("/h" + AttemptId))
    m_Book.broken("MIXED: " + AttemptId + " goes on from " + Source);
  const std::string Events = field(What, "X-Soak-Events");
  if (m_Manner == Manner::Fails)
    return From->respond(signedHead(AttemptId, 500), "sorry");
  if (m_Manner == Manner::BreaksOff && Events.empty())
    return From->abort();
  const std::string Echoed =
      m_Manner == Manner::Garbles ? AttemptId + "x" : AttemptId;
  if (Events.empty())
    return From->respond(successHead(Echoed), "answer to " + Echoed);
  ResponseHead Head = successHead(Echoed);
  Head.Headers.add("Content-Type", "text/event-stream");
  From->beginStream(Head);
  const std::string Before = field(What, "Last-Event-Id");
  const auto Last = static_cast<unsigned>(std::stoul(Events));
  const milliseconds Gap = What.Head.Target.starts_with("/long/")
                               ? streamTime() / Last
                               : draw(2, 10);
  stream(From, Echoed, Before.empty() ? 1 : std::stoul(Before) + 1, Last,
         std::max(Gap, ShortestGap));
}

/// Most streams are short and some last as long as a gateway's whole grace, so
/// that their mean says little of a single one.
milliseconds SoakServer::streamTime() {
  return draw(1, 10) == milliseconds(1) ? draw(1000, 8000) : draw(20, 200);
}

void SoakServer::stream(const Caller &To, const std::string &AttemptId,
                        unsigned Next, unsigned Last, milliseconds Gap) {
  if (Next > Last)
    return To->endStream();
  const std::string Event = eventText(AttemptId, Next);
  if (m_Manner == Manner::BreaksOff && Next > Last / 2) {
    To->writeStream(Event.substr(0, Event.size() / 2));
    // A moment later, so that the half event is on its way.
    return after(milliseconds(2), [To] { To->abort(); });
  }
  To->writeStream(Event);
  after(Gap, [this, To, AttemptId, Next, Last, Gap] {
    stream(To, AttemptId, Next + 1, Last, Gap);
  });
}

void SoakServer::takeOrder(const Request &What, const Caller &From) {
  const Json Body = Json::parse(What.Body);
  m_Book.ordered({m_Id, Body.at("holder"), Body.at("fence")}, BootClock::now());
  ResponseHead Head;
  Head.Status = Body.value("expected", m_Orders) == m_Orders ? 202 : 409;
  From->respond(Head, "");
  if (Head.Status != 202)
    return;
  ++m_Orders;
  after(StageChangeTime, [this, Wanted = Body.at("stage").get<std::string>()] {
    m_Stage = Wanted;
    if (StageChanged)
      StageChanged();
  });
}

} // namespace figlift::soak
