s/^  routing: .*/  routing: round-robin/
s/^  queue: .*/  queue: fifo/
s/^  admission: .*/  admission: all/
s/^  retries: .*/  retries: plain/
s/^  hedge: .*/  hedge: false/
s/^  affinity: .*/  affinity: false/
