#ifndef FIRMOOR_CONFIG_TABLE_READER_H_
#define FIRMOOR_CONFIG_TABLE_READER_H_

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// Parses TOML; fails with `kInvalidSettings`, naming the line.
Result<toml::table> ParseToml(std::string_view text,
                              std::string_view file_name);

/// The whole content of a file; fails with `kUnreadableFile`.
Result<std::string> ReadTextFile(const std::string& file_name);

/// Reads the keys of one TOML table and records the first problem with its file
/// and line. Values keep their defaults if a key is missing.
class TableReader {
 public:
  /// A null `table` is read as an empty one. `problem` is shared by all readers
  /// of a file.
  TableReader(const toml::table* table, std::string path,
              std::string_view file_name, std::optional<Error>* problem);

  void Text(const char* key, std::string* out, bool required);
  void Choice(const char* key, std::string* out,
              const std::set<std::string>& allowed);
  void Address(const char* key, Endpoint* out, bool required);
  void Addresses(const char* key, std::vector<Endpoint>* out);
  void Number(const char* key, std::int64_t* out, std::int64_t low,
              std::int64_t high);
  void Decimal(const char* key, double* out, double low, double high);
  void Milliseconds(const char* key, Duration* out, std::int64_t low);
  void Flag(const char* key, bool* out);

  /// Reports keys that have been neither read nor marked as known.
  void RejectUnknownKeys();

  /// Marks a key that is read by other means, such as a table.
  void MarkKnown(const char* key) { known_.insert(key); }

 private:
  const toml::node* Find(const char* key, bool required);
  void ReportProblem(const toml::node& node, std::string_view key,
                     std::string_view what);

  const toml::table* table_;
  std::string path_;
  std::string_view file_name_;
  std::optional<Error>* problem_;
  std::set<std::string> known_;
};

}  // namespace firmoor

#endif  // FIRMOOR_CONFIG_TABLE_READER_H_
