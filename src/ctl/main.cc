// Entry point of comfreyflowctl.
int main() { return 2; }
