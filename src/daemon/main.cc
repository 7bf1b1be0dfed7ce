// Entry point of comfreyflowd.
int main() { return 2; }
