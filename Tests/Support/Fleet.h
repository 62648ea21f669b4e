//===- Fleet.h - A small fleet of real processes ----------------*- C++ -*-===//
//
// Starts stand-ins, agents and entries as separate processes on loopback
// addresses that are reserved for this test. All connections between them pass
// through the fault proxy.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Support/Caller.h"
#include "Support/ChildProcess.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace figlift::test {

/// One target of a fleet: a stand-in and its agent.
struct TargetOptions {
  std::string Id;
  std::string BackEnd;
  bool IsEngine = true;
  std::string Role = "mixed";
  std::string Zone = "hall-a";
  /// Additional flags of the stand-in.
  std::vector<std::string> StandInFlags;
};

struct FleetOptions {
  std::vector<std::string> Entries{"entry-1", "entry-2"};
  std::vector<TargetOptions> Targets;
  /// JSON text of the initial record, or of an array of records.
  std::string Records;
  /// Merge patches for the settings of all entries and of all agents.
  nlohmann::json EntrySettings = nlohmann::json::object();
  nlohmann::json AgentSettings = nlohmann::json::object();
  std::chrono::milliseconds VmListLag{0};
};

/// Two engines of "lm-desk" and one service of "booking-core", two entries.
FleetOptions smallFleet();

class Fleet {
public:
  /// Starts all processes and waits until all targets serve. If ready() returns
  /// false, problem() describes the failure.
  explicit Fleet(FleetOptions Options);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  bool ready() const { return m_Problem.empty(); }
  const std::string &problem() const { return m_Problem; }
  const FleetOptions &options() const { return m_Options; }

  /// Ids of the entries.
  const std::vector<std::string> &entries() const { return m_Options.Entries; }
  /// Address of an entry's HTTP listener for callers and operators.
  std::string callers(const std::string &EntryId) const;
  /// Address of an agent's HTTP listener.
  std::string admin(const std::string &TargetId) const;
  /// Address of the control interface of a target's stand-in.
  std::string target(const std::string &TargetId) const;
  std::string platform() const;

  /// Processes by name: "platform", "fault-proxy", an entry's id, a target's
  /// id (its agent), or "target:" and the id (its stand-in).
  ChildProcess &process(const std::string &Name);
  /// Restarts an exited process with the same settings.
  void restart(const std::string &Name);

  /// Sets a link of the fault proxy: "agent:ID" (entries to the agent),
  /// "target:ID" (the agent to its target), "platform:PROCESS", "entry:ID".
  void link(const std::string &Name, const std::string &Mode,
            std::chrono::milliseconds Delay = {});
  /// Sets the fault mode of the platform stand-in; see its file comment.
  void platformFault(const std::string &Mode,
                     std::chrono::milliseconds Delay = {}, int Count = 0);
  void setVmState(const std::string &Id, const std::string &State);

  /// Requests that the stand-in of a target has recorded.
  nlohmann::json book(const std::string &TargetId) const;
  /// Number of executions of \p Key, summed over all service stand-ins.
  int executions(const std::string &Key) const;
  nlohmann::json getJson(const std::string &Address,
                         const std::string &Path) const;
  /// Runs figlift-ctl against all entries; returns its exit code and output.
  std::pair<int, std::string> control(std::vector<std::string> Arguments);
  /// Writes \p Text to a file in the fleet's folder and returns its path.
  std::string writeFile(const std::string &Name, const std::string &Text);

  /// Sends SIGTERM to every agent and entry; true when all exit with 0.
  bool stopGracefully(std::chrono::milliseconds Limit);
  /// End of each process's log, for the message of a failed test.
  std::string logs() const;

private:
  struct Program {
    std::string Path;
    std::vector<std::string> Arguments;
  };

  void startStandIns();
  void startAgents();
  void startEntries();
  void publishVmList();
  void submitRecords();
  void waitUntilServing();
  /// Whether the slices of all services are granted.
  bool homesKnown() const;
  void launch(const std::string &Name, Program Command,
              const std::string &ReadyText);
  void addLink(const std::string &Name, const std::string &Listen,
               const std::string &Target);
  std::string address(unsigned LastOctet, unsigned Port) const;
  nlohmann::json settingsFor(const std::string &Id, const std::string &Zone);
  size_t targetIndex(const std::string &Id) const;
  size_t entryIndex(const std::string &Id) const;

  FleetOptions m_Options;
  std::string m_Problem;
  std::string m_Folder;
  /// Listening socket that reserves the loopback prefix while it is open.
  int m_Guard = -1;
  std::string m_Prefix;
  nlohmann::json m_Vms = nlohmann::json::array();
  std::map<std::string, Program> m_Programs;
  std::map<std::string, std::string> m_ReadyTexts;
  std::map<std::string, ChildProcess> m_Processes;
  unsigned m_ControlRuns = 0;
};

} // namespace figlift::test
