//===- Tables.cpp - Text output of operator API responses -----------------===//
//
// One function per kind of response.
//
//===----------------------------------------------------------------------===//

#include "Tables.h"

#include <algorithm>

namespace figlift::control {

using Row = std::vector<std::string>;

/// Formats a member as a cell; strings are not quoted.
static std::string cell(const Json &Object, const char *Name) {
  auto Member = Object.find(Name);
  if (Member == Object.end() || Member->is_null())
    return "-";
  if (Member->is_string())
    return Member->get<std::string>();
  return Member->dump();
}

static Row cells(const Json &Object, const std::vector<const char *> &Names) {
  Row Cells;
  for (const char *Name : Names)
    Cells.push_back(cell(Object, Name));
  return Cells;
}

static Json getArray(const Json &Response, const char *Name) {
  return Response.value(Name, Json::array());
}

std::string alignColumns(const std::vector<Row> &Rows) {
  std::vector<size_t> Widths;
  for (const Row &Cells : Rows) {
    Widths.resize(std::max(Widths.size(), Cells.size()));
    for (size_t Column = 0; Column < Cells.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Cells[Column].size());
  }
  std::string Text;
  for (const Row &Cells : Rows) {
    std::string Line;
    for (size_t Column = 0; Column < Cells.size(); ++Column) {
      Line += Cells[Column];
      Line.append(Widths[Column] - Cells[Column].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + '\n';
  }
  return Text;
}

std::string recordTable(const Json &Response) {
  std::vector<Row> Rows = {
      {"KIND", "NAME", "VERSION", "REVISION", "SCHEMA", "UNREADABLE"}};
  for (const Json &Record : getArray(Response, "records"))
    Rows.push_back(cells(Record, {"kind", "name", "version", "revision",
                                  "schemaVersion", "unreadable"}));
  return "revision " + cell(Response, "revision") + "\n" + alignColumns(Rows);
}

std::string outcomeTable(const Json &Response) {
  std::vector<Row> Rows = {{"KIND", "NAME", "VERSION"}};
  for (const Json &Record : getArray(Response, "records"))
    Rows.push_back(cells(Record, {"kind", "name", "version"}));
  return "committed as revision " + cell(Response, "revision") + "\n" +
         alignColumns(Rows);
}

std::string statusTable(const Json &Response) {
  std::string Text = "entry " + cell(Response, "entry") + ", revision " +
                     cell(Response, "revision");
  if (!Response.value("serving", true))
    Text += ", takes no new work: " + cell(Response, "reason");
  std::vector<Row> Targets = {{"TARGET", "BACK END", "ZONE", "STATE", "ROLE",
                               "REVISION", "REQUESTS", "WAITING TOKENS"}};
  for (const Json &Target : getArray(Response, "targets")) {
    Row Cells = cells(Target, {"id", "backEnd", "zone", "state", "role",
                               "revisionInForce", "requestsInFlight"});
    Cells.push_back(
        cell(Target.value("load", Json::object()), "prefillTokensWaiting"));
    Targets.push_back(std::move(Cells));
  }
  Text += "\n" + alignColumns(Targets);
  std::vector<Row> Entries = {{"ENTRY", "STATE", "REVISION"}};
  for (const Json &Entry : getArray(Response, "entries"))
    Entries.push_back(cells(Entry, {"id", "state", "revisionInForce"}));
  return Entries.size() > 1 ? Text + alignColumns(Entries) : Text;
}

std::vector<std::string> statusLines(const Json &Response) {
  std::vector<std::string> Lines = {"entry " + cell(Response, "entry") +
                                    " revision " + cell(Response, "revision") +
                                    " serving " + cell(Response, "serving")};
  for (const Json &Target : getArray(Response, "targets"))
    Lines.push_back("target " + cell(Target, "id") + " " +
                    cell(Target, "state") + " role " + cell(Target, "role") +
                    " revision " + cell(Target, "revisionInForce"));
  return Lines;
}

std::string explanationText(const Json &Response) {
  std::string Text;
  if (auto Target = Response.find("target"); Target != Response.end())
    Text += "target " + cell(*Target, "id") + ": " + cell(*Target, "state") +
            ", role " + cell(*Target, "role") + ", revision " +
            cell(*Target, "revisionInForce") + "\n";
  if (auto Record = Response.find("record"); Record != Response.end())
    Text += "record version " + cell(*Record, "version") + ", revision " +
            cell(*Record, "revision") + ":\n" + cell(*Record, "text") + "\n";
  for (const Json &Event : getArray(Response, "events"))
    Text +=
        (Event.is_string() ? Event.get<std::string>() : Event.dump()) + "\n";
  return Text.empty() ? "no information about " + cell(Response, "id") + "\n"
                      : Text;
}

} // namespace figlift::control
