//===- Engine.cpp - HTTP interface of the engine --------------------------===//
//
// The paths of the engine and of its control.
//
//===----------------------------------------------------------------------===//

#include "Engine.h"

#include <random>

namespace figlift::standin {

namespace {

std::string randomId() {
  std::random_device Source;
  char Text[17];
  std::snprintf(Text, sizeof Text, "%08x%08x", Source(), Source());
  return Text;
}

Completion parseCompletion(const Json &Body) {
  Completion Asked;
  Asked.RequestId = Body.at("request_id").get<std::string>();
  Asked.Model = Body.at("model").get<std::string>();
  Asked.Prompt = Body.at("prompt").get<std::string>();
  const uint64_t Measured =
      (Asked.Prompt.size() + BytesPerToken - 1) / BytesPerToken;
  Asked.PromptTokens =
      std::max<uint64_t>(1, Body.value("prompt_tokens", Measured));
  Asked.MaximumTokens = Body.at("max_tokens").get<uint64_t>();
  Asked.Priority = Body.value("priority", 0);
  Asked.FirstToken = Body.value("first_token", uint64_t(0));
  return Asked;
}

} // namespace

Engine::Engine(const EngineOptions &Options)
    : m_Options(Options), m_Boot(randomId()), m_Scheduler(Options),
      m_Orders(Options,
               {[this](const std::string &Model) { m_Scheduler.cut(Model); },
                [this](const std::string &Role) { m_Scheduler.setRole(Role); },
                [this] { crash(); }}),
      m_Server(Options.Listen,
               [this](const Call &Incoming) { handle(Incoming); }) {
  m_Server.OnCrash = [this] { forget(); };
}

void Engine::handle(const Call &Incoming) {
  if (Incoming.Path == "/v1/completions")
    return complete(Incoming);
  if (const auto Id = Incoming.after("/v1/requests/"))
    return cancel(Incoming, *Id);
  if (Incoming.Path == "/v1/orders") {
    const auto [Status, Answer] = m_Orders.submit(Incoming.json());
    return Incoming.answer(Status, Answer);
  }
  if (Incoming.Path == "/v1/state")
    return state(Incoming);
  if (Incoming.Path == "/v1/load")
    return Incoming.answer(200, m_Scheduler.load());
  if (Incoming.Path == "/v1/cache-events")
    return Incoming.answer(
        200, {{"events", m_Scheduler.cacheEvents(
                             std::stoull(Incoming.query("after", "0")))}});
  if (Incoming.Path == "/v1/kv/export")
    return moveKv(Incoming, true);
  if (Incoming.Path == "/v1/kv/import")
    return moveKv(Incoming, false);
  if (const auto Name = Incoming.after("/control/"))
    return control(Incoming, *Name);
  Incoming.answer(404, {{"error", "not found"}});
}

void Engine::complete(const Call &Incoming) {
  Completion Asked = parseCompletion(Incoming.json());
  if (m_Orders.running())
    return Incoming.answerRetryAfter(503, {{"error", "an order runs"}},
                                     std::chrono::seconds(1));
  if (!m_Orders.serves(Asked.Model))
    return Incoming.answer(404, {{"error", "model is not loaded"}});
  if (const auto Refused =
          m_Scheduler.submit(std::move(Asked), Incoming.Request))
    Incoming.answer(409, {{"error", *Refused}});
}

void Engine::cancel(const Call &Incoming, const std::string &RequestId) {
  if (Incoming.Method != "DELETE")
    return Incoming.answer(405, {{"error", "DELETE only"}});
  const bool Found = m_Scheduler.cancel(RequestId);
  Incoming.answer(Found ? 200 : 404, {{"cancelled", Found}});
}

void Engine::moveKv(const Call &Incoming, bool Exports) {
  const Json Body = Incoming.json();
  const auto Copy = Exports ? m_Scheduler.exportKv(Body.at("request_id"))
                            : m_Scheduler.importKv(Body.at("handle"));
  if (!Copy && Exports)
    return Incoming.answer(404, {{"error", "request does not decode"}});
  if (!Copy)
    return Incoming.answer(507, {{"error", "no room"}});
  m_Timer.after(Copy->Time, [Incoming, Moved = *Copy] {
    Incoming.answer(200, {{"handle", Moved.Handle}, {"bytes", Moved.Bytes}});
  });
}

void Engine::state(const Call &Incoming) {
  Json Answer = m_Orders.state();
  const auto [Running, Waiting] = m_Scheduler.counts();
  Answer["running"] = Running;
  Answer["waiting"] = Waiting;
  {
    const std::lock_guard Lock(m_Mutex);
    Answer["boot"] = m_Boot;
  }
  Incoming.answer(200, Answer);
}

void Engine::control(const Call &Incoming, const std::string &Name) {
  if (Name == "book")
    return Incoming.answer(
        200, {{"orders", m_Orders.book()}, {"requests", m_Scheduler.book()}});
  if (Name == "crash")
    return armCrash(Incoming);
  if (Name == "settings") {
    const Json Settings = Incoming.json();
    m_Orders.configure(Settings);
    m_Scheduler.configure(Settings);
    return Incoming.answer(200, Json::object());
  }
  Incoming.answer(404, {{"error", "not found"}});
}

void Engine::armCrash(const Call &Incoming) {
  const Json Body = Incoming.json();
  const std::string When = Body.value("when", "now");
  const auto AfterTokens = Body.value("after_tokens", uint64_t(0));
  {
    const std::lock_guard Lock(m_Mutex);
    m_RestartAfter = durationOr(Body, "restart_after", std::chrono::seconds(1));
  }
  if (AfterTokens > 0)
    m_Scheduler.afterTokens(AfterTokens, [this] { crash(); });
  else if (When == "now")
    crash();
  else
    m_Orders.crashAt(When);
  Incoming.answer(200, Json::object());
}

void Engine::crash() {
  const std::lock_guard Lock(m_Mutex);
  m_Server.crash(m_RestartAfter);
}

void Engine::forget() {
  {
    const std::lock_guard Lock(m_Mutex);
    m_Boot = randomId();
  }
  m_Orders.forget();
  m_Scheduler.forget(m_Options.Role);
}

} // namespace figlift::standin
