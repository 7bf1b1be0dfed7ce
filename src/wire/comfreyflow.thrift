// Messages between hosts. Field numbers are never used again for another field.
namespace cpp comfreyflow.wire

// What one host says of itself to another.
struct HostAddress {
  1: string host
  2: i64 incarnation
  3: string address
  4: i32 port
}
