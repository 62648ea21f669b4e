//===- Platform.cpp - Stand-in of the platform ----------------------------===//
//
// Routing, fault modes and counters.
//
//===----------------------------------------------------------------------===//

#include "Platform.h"

namespace figlift::standin {

namespace {

constexpr std::chrono::seconds LostAnswerHang{5};
constexpr size_t DefaultRangeLimit = 1000;

} // namespace

Platform::Platform(const PlatformOptions &Options)
    : m_Options(Options), m_ReadLimit(Options.ReadsPerSecond),
      m_WriteLimit(Options.WritesPerSecond),
      m_WeightLimit(Options.WeightsPerSecond),
      m_Server(Options.Listen,
               [this](const Call &Incoming) { handle(Incoming); }) {}

void Platform::handle(const Call &Incoming) {
  if (const auto Name = Incoming.after("/control/"))
    return control(Incoming, *Name);
  const bool IsWrite = Incoming.Method != "GET";
  if (!Incoming.after("/v1/weights/")) {
    ++(IsWrite ? m_Writes : m_Reads);
    if (!(IsWrite ? m_WriteLimit : m_ReadLimit).take()) {
      ++m_Refused;
      return Incoming.answer(503, {{"error", "rate limit"}});
    }
  }
  serve(Incoming, IsWrite);
}

void Platform::serve(const Call &Incoming, bool IsWrite) {
  const Fault Active = takeFault(Incoming, IsWrite);
  switch (Active.Kind) {
  case Mode::Down:
    return Incoming.answer(503, {{"error", "down"}});
  case Mode::LostBeforeEffect:
    return loseAnswer(Incoming, Active);
  case Mode::Slow:
    ++m_Delayed;
    return m_Timer.after(Active.Delay, [this, Incoming, IsWrite] {
      --m_Delayed;
      Incoming.guard(
          [&] { IsWrite ? answerWrite(Incoming, Fault()) : read(Incoming); });
    });
  default:
    break;
  }
  IsWrite ? answerWrite(Incoming, Active) : read(Incoming);
}

Platform::Fault Platform::takeFault(const Call &Incoming, bool IsWrite) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Fault.Kind == Mode::None || !Incoming.Path.starts_with(m_Fault.Scope))
    return {};
  const bool OnlyWrites = m_Fault.Kind == Mode::EffectWithoutAnswer ||
                          m_Fault.Kind == Mode::LostBeforeEffect;
  if (OnlyWrites && !IsWrite)
    return {};
  if (Incoming.Body.find(m_Fault.Containing) == std::string::npos)
    return {};
  ++m_FaultsTaken;
  Fault Active = m_Fault;
  if (m_Fault.Remaining && --*m_Fault.Remaining == 0)
    m_Fault = {};
  return Active;
}

void Platform::loseAnswer(const Call &Incoming, const Fault &Active) {
  // The client's timeout comes long before this; an answer that says nothing
  // about the effect frees the connection in the end.
  m_Timer.after(Active.Delay, [Incoming] {
    Incoming.answer(504, {{"error", "answer lost"}});
  });
}

void Platform::answerWrite(const Call &Incoming, const Fault &Active) {
  Json Answer = Json::object();
  const int Status = write(Incoming, Answer);
  if (Active.Kind == Mode::EffectWithoutAnswer)
    return loseAnswer(Incoming, Active);
  Incoming.answer(Status, Answer);
}

int Platform::write(const Call &Incoming, Json &Answer) {
  if (const auto Name = Incoming.after("/v1/objects/")) {
    const std::lock_guard Lock(m_Mutex);
    m_Objects[*Name] = Incoming.Body;
    return 200;
  }
  if (Incoming.Path != "/v1/table/commit")
    return 404;
  if (const auto Conflict = m_Table.commit(Incoming.json())) {
    ++m_Conflicts;
    Answer = {{"conflict", *Conflict}};
    return 409;
  }
  ++m_Commits;
  return 200;
}

void Platform::read(const Call &Incoming) {
  if (Incoming.Path == "/v1/table/row")
    return Incoming.answer(200, m_Table.read(Incoming.query("key")));
  if (Incoming.Path == "/v1/table/range") {
    const std::string Limit = Incoming.query("limit");
    return Incoming.answer(
        200,
        {{"rows", m_Table.range(
                      Incoming.query("prefix"), Incoming.query("after"),
                      Limit.empty() ? DefaultRangeLimit : std::stoul(Limit))}});
  }
  if (Incoming.Path == "/v1/vms")
    return readVms(Incoming);
  if (Incoming.after("/v1/weights/"))
    return readWeights(Incoming);
  if (const auto Name = Incoming.after("/v1/objects/")) {
    const std::lock_guard Lock(m_Mutex);
    if (const auto Found = m_Objects.find(*Name); Found != m_Objects.end())
      return Incoming.answerText(200, Found->second);
  }
  Incoming.answer(404, {{"error", "not found"}});
}

void Platform::readWeights(const Call &Incoming) {
  if (!m_WeightLimit.take())
    return Incoming.answerRetryAfter(429, {{"error", "rate limit"}},
                                     std::chrono::seconds(1));
  ++m_WeightFetches;
  Incoming.answer(200, {{"bytes", m_Options.WeightBytes}});
}

/// With a tag, so that a reader who has this list already is spared its bytes.
void Platform::readVms(const Call &Incoming) {
  const std::string Body = Json{{"vms", visibleVms()}}.dump();
  const std::string Tag =
      '"' + std::to_string(std::hash<std::string>()(Body)) + '"';
  const bool Known = Incoming.header("If-None-Match") == Tag;
  web::http::http_response Answer(Known ? 304 : 200);
  Answer.headers().add("ETag", Tag);
  if (!Known)
    Answer.set_body(Body, "application/json");
  ++m_ListReads;
  observe(Incoming.Request.reply(Answer));
}

Json Platform::visibleVms() {
  const std::lock_guard Lock(m_Mutex);
  const auto Horizon = std::chrono::steady_clock::now() - m_VmLag;
  while (m_VmLists.size() > 1 && m_VmLists[1].first <= Horizon)
    m_VmLists.pop_front();
  return m_VmLists.empty() ? Json::array() : m_VmLists.front().second;
}

void Platform::control(const Call &Incoming, const std::string &Name) {
  if (Name == "fault")
    return setFault(Incoming);
  if (Name == "vms")
    return setVms(Incoming);
  if (Name == "rows")
    return Incoming.answer(
        200, {{"rows", m_Table.range(Incoming.query("prefix"), "",
                                     std::numeric_limits<size_t>::max())}});
  if (Name == "stats")
    return Incoming.answer(200, {{"reads", m_Reads.load()},
                                 {"list_reads", m_ListReads.load()},
                                 {"writes", m_Writes.load()},
                                 {"commits", m_Commits.load()},
                                 {"conflicts", m_Conflicts.load()},
                                 {"refused", m_Refused.load()},
                                 {"faults", m_FaultsTaken.load()},
                                 {"delayed", m_Delayed.load()},
                                 {"weight_fetches", m_WeightFetches.load()}});
  Incoming.answer(404, {{"error", "not found"}});
}

void Platform::setFault(const Call &Incoming) {
  static const std::map<std::string, Mode> Modes{
      {"none", Mode::None},
      {"down", Mode::Down},
      {"slow", Mode::Slow},
      {"effect-without-answer", Mode::EffectWithoutAnswer},
      {"answer-lost-before-effect", Mode::LostBeforeEffect}};
  const Json Body = Incoming.json();
  Fault New;
  New.Kind = Modes.at(Body.at("mode").get<std::string>());
  New.Delay = durationOr(Body, "delay", LostAnswerHang);
  if (Body.contains("count"))
    New.Remaining = Body.at("count").get<uint64_t>();
  New.Scope = Body.value("scope", "/v1/");
  New.Containing = Body.value("containing", "");
  if (New.Remaining == 0)
    New = {};
  {
    const std::lock_guard Lock(m_Mutex);
    m_Fault = New;
  }
  Incoming.answer(200, Json::object());
}

void Platform::setVms(const Call &Incoming) {
  const Json Body = Incoming.json();
  {
    const std::lock_guard Lock(m_Mutex);
    m_VmLag = durationOr(Body, "lag", m_VmLag);
    if (Body.contains("vms"))
      m_VmLists.emplace_back(std::chrono::steady_clock::now(), Body.at("vms"));
  }
  Incoming.answer(200, Json::object());
}

} // namespace figlift::standin
