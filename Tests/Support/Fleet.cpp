//===- Fleet.cpp - A small fleet of real processes ------------------------===//
//
// Loopback addresses 127.A.B.x are chosen by the process id of the test and
// reserved with a listening socket. Ports are below the ephemeral range. This
// way, concurrent tests never use the same address.
//
//===----------------------------------------------------------------------===//

#include "Support/Fleet.h"

#include "Support/WaitUntil.h"

#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <sys/socket.h>
#include <unistd.h>

using namespace figlift::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned GuardPort = 7000;
constexpr unsigned PeerPort = 7001;
constexpr unsigned AdminPort = 7002;
constexpr unsigned CallersPort = 8080;
constexpr unsigned ProxiedPort = 7101;
constexpr unsigned StandInPort = 7201;
constexpr unsigned PlatformLinkPort = 7301;

constexpr unsigned PlatformOctet = 1;
constexpr unsigned ProxyOctet = 2;
constexpr unsigned FirstEntryOctet = 10;
constexpr unsigned FirstTargetOctet = 50;

constexpr seconds StartLimit{20};

/// Reserves a loopback prefix. Returns the socket, or -1 if another test holds
/// it.
int guardPrefix(const std::string &Prefix) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(GuardPort);
  inet_pton(AF_INET, (Prefix + "1").c_str(), &Address.sin_addr);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ==
          0 &&
      listen(Socket, 1) == 0)
    return Socket;
  close(Socket);
  return -1;
}

} // namespace

FleetOptions figlift::test::smallFleet() {
  FleetOptions Options;
  TargetOptions First;
  First.Id = "lm-desk-1";
  First.BackEnd = "lm-desk";
  TargetOptions Second = First;
  Second.Id = "lm-desk-2";
  Second.Zone = "hall-b";
  TargetOptions Service;
  Service.Id = "booking-core-1";
  Service.BackEnd = "booking-core";
  Service.IsEngine = false;
  Options.Targets = {First, Second, Service};
  Options.Records = R"([
    {"schemaVersion": 1, "kind": "backEnd", "name": "lm-desk",
     "spec": {"type": "model", "models": [{"name": "desk", "version": "1"}],
              "roles": {"mixed": 1}}},
    {"schemaVersion": 1, "kind": "backEnd", "name": "booking-core",
     "spec": {"type": "service", "nonRepeatablePaths": ["/slots"],
              "immediatePaths": ["/waivers"]}}
  ])";
  return Options;
}

/// Whether logs are kept, for debugging of failed tests.
static bool keepsLogs() { return std::getenv("FIGLIFT_KEEP_LOGS") != nullptr; }

Fleet::Fleet(FleetOptions Options) : m_Options(std::move(Options)) {
  std::string Template =
      std::filesystem::temp_directory_path() / "figlift-XXXXXX";
  m_Folder = mkdtemp(Template.data());
  constexpr unsigned PrefixCount = 250 * 250;
  for (unsigned Attempt = getpid(); m_Guard < 0; ++Attempt) {
    unsigned Number = Attempt % PrefixCount;
    m_Prefix = "127." + std::to_string(1 + Number / 250) + "." +
               std::to_string(1 + Number % 250) + ".";
    m_Guard = guardPrefix(m_Prefix);
  }
  startStandIns();
  startAgents();
  publishVmList();
  startEntries();
  if (!ready())
    return;
  submitRecords();
  if (ready())
    waitUntilServing();
}

Fleet::~Fleet() {
  m_Processes.clear();
  close(m_Guard);
  if (keepsLogs())
    return;
  std::error_code Ignored;
  std::filesystem::remove_all(m_Folder, Ignored);
}

std::string Fleet::address(unsigned LastOctet, unsigned Port) const {
  return m_Prefix + std::to_string(LastOctet) + ":" + std::to_string(Port);
}

size_t Fleet::targetIndex(const std::string &Id) const {
  size_t Index = 0;
  while (m_Options.Targets.at(Index).Id != Id)
    ++Index;
  return Index;
}

size_t Fleet::entryIndex(const std::string &Id) const {
  size_t Index = 0;
  while (m_Options.Entries.at(Index) != Id)
    ++Index;
  return Index;
}

std::string Fleet::callers(const std::string &EntryId) const {
  return address(FirstEntryOctet + entryIndex(EntryId), CallersPort);
}

std::string Fleet::admin(const std::string &TargetId) const {
  return address(FirstTargetOctet + targetIndex(TargetId), AdminPort);
}

std::string Fleet::target(const std::string &TargetId) const {
  return address(FirstTargetOctet + targetIndex(TargetId), StandInPort);
}

std::string Fleet::platform() const {
  return address(PlatformOctet, StandInPort);
}

ChildProcess &Fleet::process(const std::string &Name) {
  return m_Processes.at(Name);
}

void Fleet::launch(const std::string &Name, Program Command,
                   const std::string &ReadyText) {
  m_Programs[Name] = Command;
  m_ReadyTexts[Name] = ReadyText;
  std::string Log = m_Folder + "/" + Name + ".log";
  m_Processes[Name] = ChildProcess::start(Command.Path, Command.Arguments, Log);
  if (!m_Processes[Name].waitForOutput(ReadyText, StartLimit))
    m_Problem = Name + " did not start: " + m_Processes[Name].output();
}

void Fleet::restart(const std::string &Name) {
  // A killed process holds its ports until it has exited.
  process(Name).waitForExit(seconds(5));
  // A new log file, so that the old ready line is not mistaken for the new one.
  std::filesystem::rename(m_Folder + "/" + Name + ".log",
                          m_Folder + "/" + Name + ".log.old");
  launch(Name, m_Programs.at(Name), m_ReadyTexts.at(Name));
}

void Fleet::addLink(const std::string &Name, const std::string &Listen,
                    const std::string &Target) {
  json Body{{"name", Name}, {"listen", Listen}, {"target", Target}};
  Answer Response = call(address(ProxyOctet, StandInPort), "POST",
                         "/control/links", Body.dump());
  if (Response.Status != 200)
    m_Problem = "the fault proxy rejected link " + Name + ": " + Response.Body;
}

void Fleet::startStandIns() {
  const std::string Ready = "listening";
  launch("platform",
         {"Tests/StandIns/platform-standin/platform-standin",
          {"--listen", platform()}},
         Ready);
  launch("fault-proxy",
         {"Tests/StandIns/fault-proxy/fault-proxy",
          {"--control", address(ProxyOctet, StandInPort)}},
         Ready);
  for (const TargetOptions &Target : m_Options.Targets) {
    Program Command;
    Command.Arguments = {"--listen", target(Target.Id)};
    if (Target.IsEngine) {
      Command.Path = "Tests/StandIns/engine-standin/engine-standin";
      Command.Arguments.insert(Command.Arguments.end(),
                               {"--role", Target.Role, "--models", "desk@1"});
    } else {
      Command.Path = "Tests/StandIns/service-standin/service-standin";
    }
    Command.Arguments.insert(Command.Arguments.end(),
                             Target.StandInFlags.begin(),
                             Target.StandInFlags.end());
    launch("target:" + Target.Id, Command, Ready);
  }
}

json Fleet::settingsFor(const std::string &Id, const std::string &Zone) {
  unsigned Octet = m_Processes.size() + 100;
  std::string PlatformLink = address(Octet, PlatformLinkPort);
  addLink("platform:" + Id, PlatformLink, platform());
  return {{"process", {{"id", Id}, {"zone", Zone}, {"region", "blue-ridge"}}},
          {"log", {{"level", keepsLogs() ? "debug" : "info"}}},
          {"platform", {{"address", PlatformLink}}}};
}

void Fleet::startAgents() {
  for (const TargetOptions &Target : m_Options.Targets) {
    unsigned Octet = FirstTargetOctet + targetIndex(Target.Id);
    addLink("agent:" + Target.Id, address(Octet, ProxiedPort),
            address(Octet, PeerPort));
    addLink("target:" + Target.Id, address(Octet, ProxiedPort + 1),
            target(Target.Id));
    json Settings = settingsFor(Target.Id, Target.Zone);
    Settings["listen"] = {{"peer", address(Octet, PeerPort)},
                          {"admin", address(Octet, AdminPort)}};
    Settings["target"] = {{"address", address(Octet, ProxiedPort + 1)},
                          {"type", Target.IsEngine ? "engine" : "service"},
                          {"backEnd", Target.BackEnd}};
    Settings.merge_patch(m_Options.AgentSettings);
    std::string File = writeFile(Target.Id + ".json", Settings.dump(2));
    launch(Target.Id,
           {"Services/figlift-agent/figlift-agent", {"--settings", File}},
           "ready");
    m_Vms.push_back({{"id", Target.Id},
                     {"kind", "target"},
                     {"backEnd", Target.BackEnd},
                     {"zone", Target.Zone},
                     {"region", "blue-ridge"},
                     {"peer", address(Octet, ProxiedPort)},
                     {"state", "live"}});
  }
}

void Fleet::startEntries() {
  for (const std::string &Id : m_Options.Entries) {
    unsigned Octet = FirstEntryOctet + entryIndex(Id);
    addLink("entry:" + Id, address(Octet, ProxiedPort),
            address(Octet, PeerPort));
    json Settings = settingsFor(Id, "hall-a");
    Settings["listen"] = {{"callers", address(Octet, CallersPort)},
                          {"peer", address(Octet, PeerPort)}};
    Settings.merge_patch(m_Options.EntrySettings);
    std::string File = writeFile(Id + ".json", Settings.dump(2));
    m_Vms.push_back({{"id", Id},
                     {"kind", "entry"},
                     {"backEnd", ""},
                     {"zone", "hall-a"},
                     {"region", "blue-ridge"},
                     {"peer", address(Octet, ProxiedPort)},
                     {"state", "live"}});
    publishVmList();
    launch(Id, {"Services/figlift-entry/figlift-entry", {"--settings", File}},
           "ready");
  }
}

void Fleet::publishVmList() {
  json Body{{"vms", m_Vms},
            {"lag", std::to_string(m_Options.VmListLag.count()) + "ms"}};
  call(platform(), "POST", "/control/vms", Body.dump());
}

void Fleet::setVmState(const std::string &Id, const std::string &State) {
  for (json &Vm : m_Vms)
    if (Vm["id"] == Id)
      Vm["state"] = State;
  publishVmList();
}

void Fleet::submitRecords() {
  if (m_Options.Records.empty())
    return;
  std::string File = writeFile("records.json", m_Options.Records);
  auto [Code, Output] = control({"apply", "-f", File, "--wait"});
  if (Code != 0)
    m_Problem = "submitting the records failed with exit code " +
                std::to_string(Code) + ": " + Output;
}

void Fleet::waitUntilServing() {
  for (const std::string &Entry : m_Options.Entries)
    if (!waitUntil(StartLimit, [&] {
          json Status = getJson(callers(Entry), "/operator/v1/status");
          if (!Status.is_object() || !Status.contains("targets"))
            return false;
          size_t Serving = 0;
          for (const json &Target : Status["targets"])
            Serving += Target.value("state", "") == "serving";
          return Serving == m_Options.Targets.size() && homesKnown();
        }))
      m_Problem = Entry + " does not see every target serving: " +
                  call(callers(Entry), "GET", "/operator/v1/status").Body;
}

bool Fleet::homesKnown() const {
  Answer Rows = call(platform(), "GET", "/control/rows?prefix=slice/");
  for (const TargetOptions &Target : m_Options.Targets)
    if (!Target.IsEngine &&
        Rows.Body.find("slice/" + Target.BackEnd) == std::string::npos)
      return false;
  return true;
}

void Fleet::link(const std::string &Name, const std::string &Mode,
                 milliseconds Delay) {
  json Body{{"mode", Mode}, {"delay", std::to_string(Delay.count()) + "ms"}};
  call(address(ProxyOctet, StandInPort), "POST", "/control/links/" + Name,
       Body.dump());
}

void Fleet::platformFault(const std::string &Mode, milliseconds Delay,
                          int Count) {
  json Body{{"mode", Mode}, {"delay", std::to_string(Delay.count()) + "ms"}};
  if (Count > 0)
    Body["count"] = Count;
  call(platform(), "POST", "/control/fault", Body.dump());
}

json Fleet::getJson(const std::string &Address, const std::string &Path) const {
  Answer Response = call(Address, "GET", Path, {}, {}, seconds(5));
  return json::parse(Response.Body, nullptr, /*allow_exceptions=*/false);
}

json Fleet::book(const std::string &TargetId) const {
  return getJson(target(TargetId), "/control/book");
}

int Fleet::executions(const std::string &Key) const {
  int Total = 0;
  for (const TargetOptions &Target : m_Options.Targets) {
    if (Target.IsEngine)
      continue;
    json Book = book(Target.Id);
    if (Book.is_object() && Book.contains("executions"))
      Total += Book["executions"].value(Key, 0);
  }
  return Total;
}

std::pair<int, std::string> Fleet::control(std::vector<std::string> Arguments) {
  std::string Entries;
  for (const std::string &Id : m_Options.Entries)
    Entries += (Entries.empty() ? "" : ",") + callers(Id);
  Arguments.insert(Arguments.begin(), {"--entry", Entries});
  std::string Log =
      m_Folder + "/ctl-" + std::to_string(++m_ControlRuns) + ".log";
  ChildProcess Run = ChildProcess::start("Utilities/figlift-ctl/figlift-ctl",
                                         std::move(Arguments), Log);
  std::optional<int> Code = Run.waitForExit(seconds(30));
  return {Code.value_or(-1), Run.output()};
}

std::string Fleet::writeFile(const std::string &Name, const std::string &Text) {
  std::string Path = m_Folder + "/" + Name;
  std::ofstream(Path) << Text;
  return Path;
}

bool Fleet::stopGracefully(milliseconds Limit) {
  std::vector<std::string> Names = m_Options.Entries;
  for (const TargetOptions &Target : m_Options.Targets)
    Names.push_back(Target.Id);
  bool AllClean = true;
  for (const std::string &Name : Names) {
    process(Name).terminate();
    AllClean &= process(Name).waitForExit(Limit) == 0;
  }
  return AllClean;
}

std::string Fleet::logs() const {
  constexpr size_t TailBytes = 1500;
  std::string Text;
  for (const auto &[Name, Process] : m_Processes) {
    std::string Output = Process.output();
    if (Output.size() > TailBytes)
      Output = Output.substr(Output.size() - TailBytes);
    Text += "--- " + Name + "\n" + Output + "\n";
  }
  return Text;
}
