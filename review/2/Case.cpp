//===- Case.cpp - Streams at two software versions --------------*- C++ -*-===//
//
// The last servers of software version v1 of a service are replaced by servers
// of version v2. Their entries are removed, and they serve a little longer.
// Meanwhile the gateways are killed and start again. Clients take up the
// streams that broke off, and name their beginnings. What two versions write
// must not meet in one stream.
//
//===----------------------------------------------------------------------===//

#include "../stand-ins/Gateway.h"
#include "../stand-ins/Record.h"
#include "../stand-ins/Store.h"

#include <atomic>
#include <cstdio>
#include <random>
#include <set>

using namespace review;

namespace {

constexpr unsigned Gateways = 4;
constexpr unsigned Streams = 80;
constexpr unsigned Events = 60;
constexpr milliseconds EventGap{100};
constexpr milliseconds Deadline{15000};
constexpr milliseconds StartSpread{1500};
/// From the first stream to the removal of the entries of v1.
constexpr milliseconds RemovalAt{2500};
/// From the removal to the kill, and from the kill to the start of the
/// gateways.
constexpr milliseconds KillAfter{700};
constexpr milliseconds RestartDelay{500};
/// `drainMs`, and a little longer: servers of v1 end this long after their
/// entries were removed.
constexpr milliseconds LeavingTime{2500};
/// As the sheet has it. A client waits a moment before it comes back.
constexpr unsigned ClientRetries = 1;
constexpr milliseconds RetryPause{1000};
/// The rule allows this number of streams that hold events of two versions.
constexpr unsigned AllowedStreams = 2;

Json configuration() {
  return {{"version", 7},
          {"routes",
           {{{"name", "question"},
             {"host", "case.example"},
             {"prefix", "/question/"},
             {"kind", "streaming"},
             {"timeoutMs", 15000},
             {"targetLatencyMs", 100},
             {"priority", 1},
             {"service", "model"},
             {"maxAttempts", 2},
             {"sticky", true},
             {"resumable", true},
             {"gapAimMs", 120}}}},
          {"services",
           {{{"name", "model"},
             {"healthPath", "/health"},
             {"maxConnections", 120}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

std::string fields(const std::string &Attempt) {
  return "X-Attempt-Id: " + Attempt + "\r\n";
}

/// Streams numbered events. Writes its software version into each of them.
class StreamServer {
public:
  StreamServer(Store &Rows, Record &Seen, std::string Id, std::string Version)
      : m_Rows(Rows), m_Seen(Seen), m_Id(std::move(Id)),
        m_Version(std::move(Version)),
        m_Listener([this](Connection &Caller) { serve(Caller); }) {
    std::thread([this] {
      for (; beat(); std::this_thread::sleep_for(milliseconds(1200)))
        ;
    }).detach();
  }
  /// Removes the entry; the server goes on until end() is called.
  void removeEntry() {
    const std::scoped_lock Lock(m_Mutex);
    m_IsListed = false;
    m_Rows.remove("servers", m_Id);
  }
  void end() { m_HasEnded = true; }

private:
  bool beat() {
    const std::scoped_lock Lock(m_Mutex);
    if (m_IsListed)
      m_Rows.put("servers", m_Id,
                 {{"service", "model"},
                  {"address", "127.0.0.1:" + std::to_string(m_Listener.port())},
                  {"zone", "zone-a"},
                  {"version", m_Version},
                  {"slots", 64},
                  {"state", "ready"},
                  {"coldRemainingMs", 0},
                  {"sequence", ++m_Heartbeats}});
    return m_IsListed;
  }
  static std::string chunk(const std::string &Text) {
    char Size[20];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
    return Size + Text + "\r\n";
  }
  void serve(Connection &Caller) {
    while (!m_HasEnded) {
      const auto Call = Caller.receive(Clock::now() + milliseconds(60000));
      if (!Call || m_HasEnded)
        return;
      const std::string Attempt = Call->field("X-Attempt-Id").value_or("");
      if (Call->field("X-Expect-Instance").value_or(m_Id) != m_Id) {
        Caller.send("HTTP/1.1 421 Misdirected Request\r\n" + fields(Attempt) +
                    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const unsigned After = static_cast<unsigned>(
          std::atoi(Call->field("Last-Event-Id").value_or("0").c_str()));
      m_Seen.run(Attempt, m_Id + " (" + m_Version + ") after event " +
                              std::to_string(After));
      bool IsOpen = Caller.send("HTTP/1.1 200 OK\r\n" + fields(Attempt) +
                                "X-Response-Signature: " + m_Id +
                                "\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n");
      for (unsigned Next = After + 1; IsOpen && Next <= Events; ++Next) {
        std::this_thread::sleep_for(EventGap);
        IsOpen = !m_HasEnded && !Caller.peerLeft() &&
                 Caller.send(chunk("id: " + std::to_string(Next) +
                                   "\ndata: " + m_Version + "\n\n"));
      }
      if (!IsOpen || !Caller.send("0\r\n\r\n"))
        return;
    }
  }

  Store &m_Rows;
  Record &m_Seen;
  const std::string m_Id;
  const std::string m_Version;
  std::mutex m_Mutex;
  bool m_IsListed = true;
  uint64_t m_Heartbeats = 0;
  std::atomic<bool> m_HasEnded = false;
  /// The last member: its thread uses the others.
  Listener m_Listener;
};

/// What one client has received of its stream, over all of its tries.
struct Received {
  unsigned LastEvent = 0;
  std::set<std::string> Versions;
  unsigned Resumed = 0;
  bool IsComplete = false;
};

/// Reads chunks until the stream ends or breaks off. Returns whether it ended.
bool readEvents(Connection &From, Received &Stream, Clock::time_point Until) {
  while (const auto Text = From.receiveChunk(Until)) {
    if (Text->empty())
      return true;
    // The gateway forwards whole events, one or several at a time.
    for (size_t At = Text->find("id: "); At != std::string::npos;
         At = Text->find("id: ", At + 1)) {
      Stream.LastEvent =
          static_cast<unsigned>(std::atoi(Text->c_str() + At + 4));
      const size_t Data = Text->find("data: ", At) + 6;
      Stream.Versions.insert(Text->substr(Data, Text->find('\n', Data) - Data));
    }
  }
  return false;
}

/// Starts a stream, and takes it up again if it breaks off. Each retry reaches
/// one of the other gateways.
void runClient(unsigned Number, const std::vector<uint16_t> &Ports,
               Record &Seen, Received &Stream) {
  std::this_thread::sleep_for(StartSpread * Number / Streams);
  const auto Until = Clock::now() + Deadline;
  const std::string Beginning = "a" + std::to_string(Number) + "-0";
  std::mt19937 Random(Number);
  unsigned Front = Number % Gateways;
  for (unsigned Try = 0; Try <= ClientRetries && Clock::now() < Until; ++Try) {
    const std::string Id =
        "a" + std::to_string(Number) + "-" + std::to_string(Try);
    std::string Resume;
    if (Stream.LastEvent > 0)
      Resume = "Last-Event-Id: " + std::to_string(Stream.LastEvent) +
               "\r\nResumes: " + Beginning + "\r\n";
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Until - Clock::now());
    if (Try > 0)
      Front = (Front + 1 + Random() % (Gateways - 1)) % Gateways;
    Seen.sent(Id, "to front-" + std::to_string(Front) + " after event " +
                      std::to_string(Stream.LastEvent));
    auto Opened = Connection::open(Ports[Front]);
    milliseconds Pause = RetryPause;
    if (Opened &&
        Opened->send("POST /question/" + std::to_string(Number) +
                     " HTTP/1.1\r\nHost: case.example\r\n" + fields(Id) +
                     "X-Deadline-Ms: " + std::to_string(Left.count()) + "\r\n" +
                     Resume + "Content-Length: 2\r\n\r\nhi")) {
      if (const auto Head = Opened->receiveHead(Until)) {
        Seen.answered(Id, Head->status());
        if (Head->status() == 200) {
          Stream.Resumed += Stream.LastEvent > 0 ? 1 : 0;
          Stream.IsComplete = readEvents(*Opened, Stream, Until);
          if (Stream.IsComplete)
            return;
        } else if (const auto After = Head->field("Retry-After")) {
          Pause = std::max(Pause,
                           milliseconds(static_cast<int>(
                               std::strtod(After->c_str(), nullptr) * 1000)));
        }
      }
    }
    std::this_thread::sleep_for(Pause);
  }
}

} // namespace

/// Arguments: root of the repository, folder for settings and logs, file for
/// the record, 1 if the gateways are killed.
int main(int Count, char **Arguments) {
  if (Count != 5)
    return 2;
  const bool IsKilled = std::atoi(Arguments[4]) != 0;
  signal(SIGPIPE, SIG_IGN);
  Record Seen(Arguments[3]);
  Store Rows;
  Rows.put("op", "config", configuration());
  std::vector<std::unique_ptr<StreamServer>> Leaving;
  std::vector<std::unique_ptr<StreamServer>> Staying;
  const auto Add = [&](auto &List, const char *Id, const char *Version) {
    List.push_back(std::make_unique<StreamServer>(Rows, Seen, Id, Version));
  };
  Add(Leaving, "i-0", "v1");
  Add(Leaving, "i-1", "v1");
  Add(Staying, "i-2", "v2");
  Add(Staying, "i-3", "v2");
  Add(Staying, "i-4", "v2");
  Deployment Site;
  Site.Root = Arguments[1];
  Site.Folder = Arguments[2];
  Site.StorePort = Rows.port();
  std::vector<std::unique_ptr<Gateway>> Fronts;
  std::vector<uint16_t> Ports;
  for (unsigned I = 0; I < Gateways; ++I) {
    Fronts.push_back(
        std::make_unique<Gateway>(Site, "front-" + std::to_string(I)));
    Fronts.back()->start();
    Ports.push_back(Fronts.back()->port());
  }
  for (const auto &Front : Fronts)
    if (!Front->waitUntilReady(milliseconds(10000)))
      return 2;
  std::this_thread::sleep_for(milliseconds(4000));

  const auto Start = Clock::now();
  std::vector<Received> All(Streams);
  std::vector<std::thread> Threads;
  for (unsigned I = 0; I < Streams; ++I)
    Threads.emplace_back(runClient, I, std::cref(Ports), std::ref(Seen),
                         std::ref(All[I]));
  // The new servers start first.
  std::this_thread::sleep_until(Start + RemovalAt - milliseconds(1000));
  Add(Staying, "i-5", "v2");
  Add(Staying, "i-6", "v2");
  std::this_thread::sleep_until(Start + RemovalAt);
  for (const auto &Server : Leaving)
    Server->removeEntry();
  Seen.note("entries of v1 removed");
  if (IsKilled) {
    std::this_thread::sleep_until(Start + RemovalAt + KillAfter);
    for (const auto &Front : Fronts)
      Front->kill();
    Seen.note("gateways killed");
    std::this_thread::sleep_for(RestartDelay);
    for (const auto &Front : Fronts)
      Front->start();
    Seen.note("gateways started");
  }
  std::this_thread::sleep_until(Start + RemovalAt + LeavingTime);
  for (const auto &Server : Leaving)
    Server->end();
  Seen.note("servers of v1 ended");
  for (std::thread &Any : Threads)
    Any.join();

  unsigned Mixed = 0;
  unsigned Complete = 0;
  unsigned Resumed = 0;
  for (unsigned I = 0; I < Streams; ++I) {
    Complete += All[I].IsComplete ? 1 : 0;
    Resumed += All[I].Resumed > 0 ? 1 : 0;
    if (All[I].Versions.size() < 2)
      continue;
    ++Mixed;
    Seen.note("ORDER stream a" + std::to_string(I) +
              " holds events of two versions");
  }
  std::printf("streams: %u, complete: %u, taken up again: %u, with events of "
              "two versions: %u\n",
              Streams, Complete, Resumed, Mixed);
  std::fflush(stdout);
  const bool IsAlive =
      std::all_of(Fronts.begin(), Fronts.end(),
                  [](const auto &Front) { return Front->isRunning(); });
  Fronts.clear();
  // The stand-ins' threads end with the process.
  std::_Exit(!IsAlive ? 2 : Mixed > AllowedStreams ? 1 : 0);
}
