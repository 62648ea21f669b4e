//===- EntryFixtures.cpp - Fake agents and callers ------------------------===//
//
// See EntryFixtures.h.
//
//===----------------------------------------------------------------------===//

#include "EntryFixtures.h"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace figlift::test {

namespace {

// CppUTest's leak detector is not thread-safe, and the threads of the transport
// allocate memory, so the detector is disabled for this suite.
const bool LeakDetectorOff = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

config::StoredRecord backEndEntry(const std::string &Name,
                                  const std::string &Text) {
  return {.Kind = "backEnd",
          .Name = Name,
          .Version = 1,
          .Revision = 1,
          .Withdrawn = false,
          .Text = Text};
}

} // namespace

config::SnapshotPointer testConfiguration() {
  config::Delta Delta;
  Delta.Head = 1;
  Delta.Full = true;
  Delta.Records = {
      backEndEntry("lm-desk", R"({"schemaVersion": 1, "kind": "backEnd",
        "name": "lm-desk", "spec": {"type": "model",
        "models": [{"name": "desk", "version": "1"}],
        "roles": {"mixed": 1}}})"),
      backEndEntry("booking-core", R"({"schemaVersion": 1, "kind": "backEnd",
        "name": "booking-core", "spec": {"type": "service",
        "nonRepeatablePaths": ["/slots"],
        "immediatePaths": ["/waivers"]}})")};
  return config::Snapshot::empty()->apply(Delta);
}

wire::RunFrame FakeAgent::ReceivedCall::frame() const {
  wire::RunFrame Frame;
  const bool IsRun = Method == wire::Method::Run;
  Frame.set_request_id(IsRun ? Run.request_id() : Resume.request_id());
  Frame.set_attempt_id(IsRun ? Run.attempt_id() : Resume.attempt_id());
  return Frame;
}

void FakeAgent::ReceivedCall::send(const wire::RunFrame &Frame) const {
  Answer->send(Frame.SerializeAsString());
}

void FakeAgent::ReceivedCall::accept() const {
  wire::RunFrame Frame = frame();
  Frame.mutable_accepted();
  send(Frame);
}

void FakeAgent::ReceivedCall::token(uint32_t Index,
                                    const std::string &Text) const {
  wire::RunFrame Frame = frame();
  Frame.mutable_tokens()->set_first_index(Index);
  Frame.mutable_tokens()->set_count(1);
  Frame.mutable_tokens()->set_text(Text);
  send(Frame);
}

void FakeAgent::ReceivedCall::finish(uint32_t Total) const {
  wire::RunFrame Frame = frame();
  Frame.mutable_finished()->set_total_tokens(Total);
  Frame.mutable_finished()->set_finish_reason("stop");
  send(Frame);
  Answer->finish();
}

void FakeAgent::ReceivedCall::refuse(ResultCode Code) const {
  wire::RunFrame Frame = frame();
  Frame.mutable_refusal()->set_code(static_cast<uint32_t>(Code));
  send(Frame);
  Answer->finish();
}

void FakeAgent::ReceivedCall::answer(const std::string &Body) const {
  wire::RunFrame Frame = frame();
  Frame.mutable_service_answer()->set_status(200);
  Frame.mutable_service_answer()->set_body(Body);
  send(Frame);
  Answer->finish();
}

class FakeAgent::Listener final : public wire::ServerListener {
public:
  explicit Listener(Script OnCall) : m_Script(std::move(OnCall)) {}

  std::shared_ptr<wire::StreamListener>
  onStream(wire::Method Method, std::shared_ptr<wire::Stream> Stream) override {
    return std::make_shared<Incoming>(*this, Method, std::move(Stream));
  }

  std::mutex Mutex;
  std::vector<ReceivedCall> Calls;

private:
  class Incoming final : public wire::StreamListener {
  public:
    Incoming(Listener &Owner, wire::Method Method,
             std::shared_ptr<wire::Stream> Stream)
        : m_Owner(Owner) {
      m_Call.Method = Method;
      m_Call.Answer = std::move(Stream);
      m_Call.Ended = std::make_shared<std::atomic<bool>>(false);
    }
    void onMessage(std::string_view Message) override {
      const int Size = static_cast<int>(Message.size());
      if (m_Call.Method == wire::Method::Run)
        m_Call.Run.ParseFromArray(Message.data(), Size);
      else
        m_Call.Resume.ParseFromArray(Message.data(), Size);
      {
        const std::lock_guard Lock(m_Owner.Mutex);
        m_Owner.Calls.push_back(m_Call);
      }
      m_Owner.m_Script(m_Call);
    }
    void onEnd(wire::StreamEnd) override { m_Call.Ended->store(true); }

  private:
    Listener &m_Owner;
    ReceivedCall m_Call;
  };

  const Script m_Script;
};

FakeAgent::FakeAgent(Script OnCall)
    : m_Listener(std::make_shared<Listener>(std::move(OnCall))) {
  wire::ServerOptions Options;
  Options.Listen = Endpoint{"127.0.0.1", 0};
  Options.Threads = 1;
  m_Server = std::move(wire::Server::create(Options, m_Listener).value());
}

void FakeAgent::stop() { m_Server->stop(); }

std::vector<FakeAgent::ReceivedCall> FakeAgent::calls() const {
  const std::lock_guard Lock(m_Listener->Mutex);
  return m_Listener->Calls;
}

/// The caller counts as answered after close().
class FakeCaller::Stream final : public http::EventStream {
public:
  explicit Stream(FakeCaller &Owner) : m_Owner(Owner) {}
  bool send(std::string_view Data) override {
    if (m_Owner.m_IsDisconnected.load())
      return false;
    m_Owner.Events.emplace_back(Data);
    m_Owner.m_HasEvents.store(true);
    return true;
  }
  bool comment() override { return !m_Owner.m_IsDisconnected.load(); }
  void close() override { m_Owner.m_Answered.store(true); }
  size_t queuedBytes() const override { return 0; }

private:
  FakeCaller &m_Owner;
};

void FakeCaller::reply(http::Response Response) {
  Answer = std::move(Response);
  m_Answered.store(true);
}

void FakeCaller::replyProblem(const Error &Failure) {
  Problem = Failure;
  m_Answered.store(true);
}

std::shared_ptr<http::EventStream>
FakeCaller::startEventStream(http::HeaderList,
                             std::function<void()> OnDisconnect) {
  m_OnDisconnect = std::move(OnDisconnect);
  return std::make_shared<Stream>(*this);
}

void FakeCaller::disconnect() {
  m_IsDisconnected.store(true);
  m_OnDisconnect();
}

CallFixture::CallFixture() {
  wire::ClientOptions Options;
  Options.Threads = 1;
  m_Client = std::move(wire::Client::create(Options).value());
  m_Context = std::make_unique<entry::CallContext>(
      entry::CallContext{m_State, m_Timers, m_Events, Counters, m_Ids, m_Budget,
                         m_Health, m_Workspaces, m_Routing, m_RetryOptions,
                         [](uint64_t) {}, [](const std::string &) {}});
}

CallFixture::~CallFixture() {
  m_Timers.stop();
  m_State.publish(std::make_unique<entry::ServingState>());
  m_Targets.clear();
  m_Client.reset();
}

void CallFixture::add(const std::string &Id, const std::string &BackEnd,
                      FakeAgent &Agent) {
  platform::Vm Vm;
  Vm.Id = Id;
  Vm.BackEnd = BackEnd;
  Vm.Peer = Agent.endpoint();
  auto Link = entry::TargetLink::connect(
      Vm, {*m_Client, m_Events, m_InFlight.gauge(Id), m_Health.health(Id)},
      {[](bool) {}, [](const wire::SyncDown &) {}});
  CHECK_TRUE(eventually(
      [&] { return Link->channel().state() == wire::ChannelState::Up; }));
  m_Targets.push_back({Id, BackEnd, std::move(Link)});
  publish();
}

void CallFixture::makeHome(const std::string &Id, const std::string &BackEnd) {
  idempotency::GrantTable Grants;
  Grants.fill({Id, 3});
  m_Homes[BackEnd].learn(Grants);
  publish();
}

void CallFixture::publish() {
  auto Next = std::make_unique<entry::ServingState>();
  std::vector<route::TargetView> Views;
  for (const Target &Target : m_Targets) {
    route::TargetView View;
    View.Id = Target.Id;
    View.BackEnd = Target.BackEnd;
    View.Accepting = true;
    Views.push_back(std::move(View));
    Next->Links[Target.Id] = Target.Link;
  }
  Next->NotReady.reset();
  Next->Configuration = testConfiguration();
  Next->Table = route::RoutingTable(std::move(Views), m_InFlight);
  Next->Homes = m_Homes;
  m_State.publish(std::move(Next));
}

std::shared_ptr<FakeCaller> CallFixture::call(entry::CallerRequest Request) {
  auto Caller = std::make_shared<FakeCaller>();
  entry::Call::start(*m_Context, Caller, std::move(Request));
  return Caller;
}

entry::CallerRequest CallFixture::completion(uint32_t MaximumTokens,
                                             bool Streamed) {
  entry::CallerRequest Request;
  Request.RequestId = m_Ids.nextText();
  Request.BackEnd = "lm-desk";
  Request.Deadline = std::chrono::seconds(20);
  entry::CompletionWork Work;
  Work.Streamed = Streamed;
  Work.Model = "desk";
  Work.Prompt = "when does the lift open";
  Work.MaximumTokens = MaximumTokens;
  Request.Work = Work;
  return Request;
}

entry::CallerRequest CallFixture::slotReservation(const std::string &Key) {
  entry::CallerRequest Request;
  Request.RequestId = m_Ids.nextText();
  Request.BackEnd = "booking-core";
  Request.Deadline = std::chrono::seconds(20);
  Request.Repeatable = false;
  Request.IdempotencyKey = Key;
  Request.Work = entry::ServiceWork{"POST", "/slots/7", "", "{}"};
  return Request;
}

} // namespace figlift::test
