//===- Server.cpp - HTTP shell of the stand-ins ---------------------------===//
//
// cpprestsdk listener, signals, and the staged crash.
//
//===----------------------------------------------------------------------===//

#include "StandInCommon/Server.h"

#include <pplx/threadpool.h>

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace figlift::standin {

using web::http::experimental::listener::http_listener;

namespace {

constexpr size_t PoolThreads = 8;
constexpr int OpenAttempts = 20;
/// Time for the answer to the crash command itself to leave.
constexpr std::chrono::milliseconds CrashAnswerTime{20};

sigset_t handledSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGUSR1);
  return Signals;
}

/// cpprestsdk does not tell which port it was given for port 0, so a free one
/// is looked up first. Another process may take it in between; open() retries.
uint16_t freePort(const std::string &Address) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  inet_pton(AF_INET, Address.c_str(), &Name.sin_addr);
  socklen_t Length = sizeof Name;
  auto *const Generic = reinterpret_cast<sockaddr *>(&Name);
  if (::bind(Socket, Generic, Length) != 0)
    std::perror("bind");
  ::getsockname(Socket, Generic, &Length);
  ::close(Socket);
  return ntohs(Name.sin_port);
}

} // namespace

Json Call::json() const {
  return Body.empty() ? Json::object() : Json::parse(Body);
}

std::string Call::header(const std::string &Name) const {
  const auto Found = Request.headers().find(Name);
  return Found == Request.headers().end() ? std::string() : Found->second;
}

std::string Call::query(const std::string &Name,
                        const std::string &Default) const {
  const auto Found = Query.find(Name);
  return Found == Query.end() ? Default : Found->second;
}

std::optional<std::string> Call::after(const std::string &Prefix) const {
  if (!Path.starts_with(Prefix))
    return std::nullopt;
  return Path.substr(Prefix.size());
}

void Call::answer(int Status, const Json &Body) const {
  web::http::http_response Response(static_cast<unsigned short>(Status));
  Response.set_body(Body.dump(), "application/json");
  observe(Request.reply(Response));
}

void Call::answerRetryAfter(int Status, const Json &Body,
                            std::chrono::microseconds Wait) const {
  web::http::http_response Response(static_cast<unsigned short>(Status));
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Wait);
  Response.headers().add("Retry-After", std::to_string(Seconds.count()));
  Response.set_body(Body.dump(), "application/json");
  observe(Request.reply(Response));
}

void Call::answerText(int Status, const std::string &Body) const {
  web::http::http_response Response(static_cast<unsigned short>(Status));
  Response.set_body(Body, "application/octet-stream");
  observe(Request.reply(Response));
}

void Call::guard(const std::function<void()> &Work) const {
  try {
    Work();
  } catch (const std::exception &Problem) {
    answer(400, {{"error", Problem.what()}});
  }
}

void observe(const pplx::task<void> &Task) {
  // An exception that nobody looks at ends the process when the task goes.
  Task.then([](const pplx::task<void> &Finished) {
    try {
      Finished.get();
    } catch (const std::exception &) {
      return;
    }
  });
}

void prepareProcess() {
  const sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  crossplat::threadpool::initialize_with_threads(PoolThreads);
}

Server::Server(const std::string &Listen, Handler Handle)
    : m_Handle(std::move(Handle)) {
  const size_t Colon = Listen.rfind(':');
  m_Address = Listen.substr(0, Colon);
  m_Port = static_cast<uint16_t>(std::stoul(Listen.substr(Colon + 1)));
}

int Server::run() {
  const bool AnyPort = m_Port == 0;
  for (int Attempt = 1;; ++Attempt) {
    if (AnyPort)
      m_Port = freePort(m_Address);
    try {
      open();
      break;
    } catch (const std::exception &Problem) {
      if (AnyPort && Attempt < OpenAttempts)
        continue;
      std::fprintf(stderr, "cannot listen on %s:%u: %s\n", m_Address.c_str(),
                   m_Port, Problem.what());
      return EXIT_FAILURE;
    }
  }
  std::printf("listening %s:%u\n", m_Address.c_str(), m_Port);
  std::fflush(stdout);
  const sigset_t Signals = handledSignals();
  for (;;) {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    if (Signal != SIGUSR1)
      std::_Exit(EXIT_SUCCESS);
    crashNow();
  }
}

void Server::open() {
  m_Listener = std::make_unique<http_listener>("http://" + m_Address + ":" +
                                               std::to_string(m_Port) + "/");
  m_Listener->support(
      [this](const web::http::http_request &Request) { dispatch(Request); });
  m_Listener->open().wait();
}

void Server::dispatch(const web::http::http_request &Request) {
  auto Body = Request;
  Body.extract_utf8string(true).then(
      [this, Request](pplx::task<std::string> Read) {
        Call Incoming;
        Incoming.Request = Request;
        Incoming.guard([&] {
          Incoming.Body = Read.get();
          Incoming.Method = Request.method();
          const auto Uri = Request.relative_uri();
          Incoming.Path = web::uri::decode(Uri.path());
          for (const auto &[Name, Value] : web::uri::split_query(Uri.query()))
            Incoming.Query[web::uri::decode(Name)] = web::uri::decode(Value);
          m_Handle(Incoming);
        });
      });
}

void Server::crash(std::chrono::microseconds RestartAfter) {
  m_RestartAfterMicroseconds = RestartAfter.count();
  ::kill(::getpid(), SIGUSR1);
}

void Server::crashNow() {
  downUnlessStopped(CrashAnswerTime);
  cutConnections();
  OnCrash();
  m_Listener->close().wait();
  // What slipped in while the listener closed must not live on either.
  OnCrash();
  downUnlessStopped(
      std::chrono::microseconds(m_RestartAfterMicroseconds.load()));
  open();
}

/// A crashed process takes nothing but the signal that ends it.
void Server::downUnlessStopped(std::chrono::microseconds For) {
  using Clock = std::chrono::steady_clock;
  const sigset_t Signals = handledSignals();
  const Clock::time_point Until = Clock::now() + For;
  for (auto Left = For; Left > Left.zero();
       Left =
           std::chrono::ceil<std::chrono::microseconds>(Until - Clock::now())) {
    const auto Seconds = std::chrono::floor<std::chrono::seconds>(Left);
    const std::chrono::nanoseconds Rest = Left - Seconds;
    const timespec Limit{Seconds.count(), Rest.count()};
    const int Signal = ::sigtimedwait(&Signals, nullptr, &Limit);
    if (Signal > 0 && Signal != SIGUSR1)
      std::_Exit(EXIT_SUCCESS);
  }
}

void Server::cutConnections() const {
  // Closing the listener alone would end streamed answers in good order; a
  // crashed process leaves them torn.
  for (const auto &Entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    const int Descriptor = std::stoi(Entry.path().filename());
    sockaddr_in Local{};
    sockaddr_in Remote{};
    socklen_t Length = sizeof Local;
    if (::getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Local),
                      &Length) != 0)
      continue;
    if (Local.sin_family != AF_INET || ntohs(Local.sin_port) != m_Port)
      continue;
    Length = sizeof Remote;
    if (::getpeername(Descriptor, reinterpret_cast<sockaddr *>(&Remote),
                      &Length) == 0)
      ::shutdown(Descriptor, SHUT_RDWR);
  }
}

} // namespace figlift::standin
